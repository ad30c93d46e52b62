//! Load reports in text form.

use sagemast::settings::*;

#[test]
fn only_configured_columns_of_a_report_are_read_and_invalid_text_is_rejected() {
    let columns = [ReportColumn::InFlight, ReportColumn::ErrorsPerS, ReportColumn::Utilisation];
    let parse = |text| report_from_text(&columns, text);
    let report = parse("TEXT inflight=7, queue=2, util=0.61").expect("two of three columns are present");
    assert_eq!((report.in_flight, report.utilisation), (Some(7.0), Some(0.61)));
    assert_eq!((report.errors_per_s, report.requests_per_s), (None, None));
    for invalid in ["", "TEXT", "JSON {}", "TEXT inflight=NaN", "TEXT inflight=-1,util=1e99", "TEXT qps=4"] {
        assert_eq!(parse(invalid), None, "{invalid}");
    }
}
