//! The settings and load reports, as a deployment words them.

use sagemast::settings::*;

#[test]
fn a_report_is_read_from_text() {
    let columns = [ReportColumn::InFlight, ReportColumn::ErrorsPerS, ReportColumn::Utilisation];
    let read = |text| report_from_text(&columns, text);
    let report = read("TEXT inflight=7, queue=2, util=0.61").expect("two figures of three");
    assert_eq!((report.in_flight, report.utilisation), (Some(7.0), Some(0.61)));
    assert_eq!((report.errors_per_s, report.requests_per_s), (None, None));
    for absurd in ["", "TEXT", "JSON {}", "TEXT inflight=NaN", "TEXT inflight=-1,util=1e99", "TEXT qps=4"] {
        assert_eq!(read(absurd), None, "{absurd}");
    }
}
