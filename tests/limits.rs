//! Keeps the main file of the decision module short.

const MAX_NON_BLANK_LINES: usize = 560;
const MAX_LINE_CHARS: usize = 110;

#[test]
fn balancer_file_is_short_and_names_its_interface() {
    let text = include_str!("../src/balancer.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= MAX_NON_BLANK_LINES, "{lines} lines that are not blank");
    for (number, line) in text.lines().enumerate() {
        assert!(
            line.chars().count() <= MAX_LINE_CHARS,
            "line {} is longer than {MAX_LINE_CHARS} characters",
            number + 1
        );
    }
    assert!(
        text.lines().next().is_some_and(|line| line.contains("src/api.rs")),
        "the first line must name the file of the interface"
    );
}
