//! Tests of `.ci/known-red` with lists and recorded output of `cargo test --locked --no-fail-fast`.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A target with two failed tests, two that pass and one that is ignored. One failed test prints text like that of
/// libtest.
const TWO_FAIL: &str = "     Running tests/a.rs (target/debug/deps/a-7c41c111ceeb243f)

running 5 tests
test good ... ok
test idle ... ignored
test must_panic - should panic ... FAILED
test net::bad ... FAILED
test panics - should panic ... ok

failures:

---- must_panic stdout ----
note: test did not panic as expected at tests/a.rs:5:28
---- net::bad stdout ----
failures:
    good


thread 'net::bad' (3062) panicked at tests/a.rs:2:55:
assertion `left == right` failed
  left: 1
 right: 2
note: run with `RUST_BACKTRACE=1` environment variable to display a backtrace


failures:
    must_panic
    net::bad

test result: FAILED. 2 passed; 2 failed; 1 ignored; 0 measured; 0 filtered out; finished in 0.19s

error: test failed, to rerun pass `--test a`
";

/// A target with one failed test, run in a single thread: standard error of the test precedes its result.
const ONE_FAILS: &str = "     Running unittests src/main.rs (target/debug/deps/sagemast-3ca256409caba513)

running 2 tests
test net::tests::inner ... sagemast: a log line of the program
FAILED
test net::tests::other ... ok

failures:

---- net::tests::inner stdout ----
in main

failures:
    net::tests::inner

test result: FAILED. 1 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.32s

error: test failed, to rerun pass `--bin sagemast`
";

/// A test binary that aborts.
const CRASH: &str = "     Running tests/crash.rs (target/debug/deps/crash-c9233cf0b886f505)

running 2 tests
error: test failed, to rerun pass `--test crash`

Caused by:
  process didn't exit successfully: `target/debug/deps/crash-c9233cf0b886f505` (signal: 6, SIGABRT: process abort signal)
";

/// A target and doc tests that pass.
const PASS: &str = "     Running tests/ok.rs (target/debug/deps/ok-927eec8c661fd15f)

running 1 test
test fine ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

   Doc-tests sagemast

running 0 tests

test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

";

/// Doc tests of which one fails.
const DOC_FAILS: &str = "   Doc-tests sagemast

running 1 test
test src/lib.rs - f (line 1) ... FAILED

failures:

---- src/lib.rs - f (line 1) stdout ----
Test executable failed (exit status: 101).

failures:
    src/lib.rs - f (line 1)

test result: FAILED. 0 passed; 1 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.12s

all doctests ran in 0.93s; merged doctests compilation took 0.81s
error: doctest failed, to rerun pass `--doc`
";

/// Exit status of `cargo test` if a test has failed or a target could not be built.
const TESTS_FAILED: i32 = 101;
/// Exit status of a process that was ended with SIGKILL.
const KILLED: i32 = 137;

// Lines of a list that fit the failed tests above.
const NET_BAD: &str = "tests/a.rs::net::bad | one is not two | issue 7";
const MUST_PANIC: &str = "tests/a.rs::must_panic | it doesn't; öfter | issue 12";
const INNER: &str = "src/main.rs::net::tests::inner | asserts what is false | issue 7";

/// The output of a run: `targets` is the output of each target, `failed` lists the failed ones.
fn run_output(targets: &[&str], failed: &[&str]) -> String {
    let header = "    Finished `test` profile [optimized + debuginfo] target(s) in 8.29s\n";
    let summary = match failed.len() {
        0 => String::new(),
        1 => format!("error: 1 target failed:\n    `{}`\n", failed[0]),
        count => format!("error: {count} targets failed:\n    `{}`\n", failed.join("`\n    `")),
    };
    format!("{header}{}{summary}", targets.concat())
}

/// Writes a file with a unique name.
fn write_file(content: &[u8]) -> PathBuf {
    static FILE_COUNT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("known-red-{}-{}", std::process::id(), FILE_COUNT.fetch_add(1, Ordering::SeqCst));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

#[derive(Debug, PartialEq)]
struct ScriptResult {
    /// Whether the script exited with status 0.
    accepted: bool,
    /// Its standard output, followed by its standard error.
    printed: String,
}

impl ScriptResult {
    fn accepted_silently() -> ScriptResult {
        ScriptResult { accepted: true, printed: String::new() }
    }
}

/// Runs the script on a list and, optionally, the output and the exit status of a run.
fn run_script(list: &Path, run: Option<(&str, i32)>) -> ScriptResult {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(list);
    let output = run.map(|(output, status)| (write_file(output.as_bytes()), status));
    if let Some((output, status)) = &output {
        command.arg(output).arg(status.to_string());
    }
    let result = command.output().unwrap();
    if let Some((output, _)) = output {
        std::fs::remove_file(output).unwrap();
    }
    let printed = [result.stdout, result.stderr].concat();
    ScriptResult {
        accepted: result.status.success(),
        printed: String::from_utf8_lossy(&printed).into_owned(),
    }
}

/// Runs the script on a list of these lines and on the output and the exit status of a run.
fn check_run(lines: &[&str], run: &str, status: i32) -> ScriptResult {
    let list = write_file((lines.join("\n") + "\n").as_bytes());
    let result = run_script(&list, Some((run, status)));
    std::fs::remove_file(list).unwrap();
    result
}

/// The path of a file that does not exist.
fn missing_list() -> PathBuf {
    let path = write_file(b"");
    std::fs::remove_file(&path).unwrap();
    path
}

#[track_caller]
fn assert_rejected(ScriptResult { accepted, printed }: ScriptResult, message: &str) {
    assert!(!accepted, "accepted, and printed {printed:?}");
    assert!(printed.contains(message), "printed {printed:?} instead of {message:?}");
}

#[test]
fn without_a_list_all_tests_must_pass() {
    assert_eq!(run_script(&missing_list(), None), ScriptResult::accepted_silently());
    assert_eq!(
        run_script(&missing_list(), Some((&run_output(&[PASS], &[]), 0))),
        ScriptResult::accepted_silently()
    );
    let output = run_output(&[ONE_FAILS, PASS], &["--bin sagemast"]);
    assert_rejected(
        run_script(&missing_list(), Some((&output, TESTS_FAILED))),
        "src/main.rs::net::tests::inner failed",
    );
}

#[test]
fn expected_failures_are_accepted_and_printed() {
    let output = run_output(&[ONE_FAILS, TWO_FAIL, PASS], &["--bin sagemast", "--test a"]);
    let ScriptResult { accepted, printed } = check_run(&[NET_BAD, MUST_PANIC, INNER], &output, TESTS_FAILED);
    assert!(accepted, "{printed:?}");
    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(
        lines,
        [
            "known red: tests/a.rs::net::bad: one is not two (issue 7)",
            "known red: tests/a.rs::must_panic: it doesn't; öfter (issue 12)",
            "known red: src/main.rs::net::tests::inner: asserts what is false (issue 7)",
        ]
    );
}

#[test]
fn unlisted_failure_is_rejected() {
    let output = run_output(&[ONE_FAILS, TWO_FAIL, PASS], &["--bin sagemast", "--test a"]);
    assert_rejected(check_run(&[NET_BAD, INNER], &output, TESTS_FAILED), "tests/a.rs::must_panic failed");
    // The same name in another file, and a part of the name.
    let other_file = "tests/ok.rs::net::bad | x | issue 7";
    assert_rejected(
        check_run(&[other_file, MUST_PANIC, INNER], &output, TESTS_FAILED),
        "tests/a.rs::net::bad failed",
    );
    let partial_name = "tests/a.rs::bad | x | issue 7";
    assert_rejected(
        check_run(&[partial_name, MUST_PANIC, INNER], &output, TESTS_FAILED),
        "tests/a.rs::net::bad failed",
    );
    let doc = run_output(&[TWO_FAIL, DOC_FAILS], &["--test a", "--doc"]);
    assert_rejected(check_run(&[NET_BAD, MUST_PANIC], &doc, TESTS_FAILED), "src/lib.rs - f (line 1) failed");
}

#[test]
fn listed_test_that_passes_or_was_not_run_is_rejected() {
    let output = run_output(&[TWO_FAIL, PASS], &["--test a"]);
    for (test, message) in [
        ("tests/a.rs::good", "tests/a.rs::good did not fail: remove it from"),
        ("tests/a.rs::panics", "tests/a.rs::panics did not fail: remove it from"),
        ("tests/a.rs::idle", "tests/a.rs::idle did not fail: remove it from"),
        ("tests/ok.rs::fine", "tests/ok.rs::fine did not fail: remove it from"),
        ("tests/a.rs::missing", "tests/a.rs::missing was not run: remove it from"),
        ("tests/b.rs::net::bad", "tests/b.rs::net::bad was not run: remove it from"),
    ] {
        assert_rejected(
            check_run(&[NET_BAD, MUST_PANIC, &format!("{test} | x | issue 1")], &output, TESTS_FAILED),
            message,
        );
    }
    assert_rejected(
        check_run(&["tests/ok.rs::fine | x | issue 1"], &run_output(&[PASS], &[]), 0),
        "did not fail",
    );
}

#[test]
fn incomplete_run_is_rejected() {
    let list = [NET_BAD, MUST_PANIC];
    let crash = run_output(&[TWO_FAIL, CRASH, PASS], &["--test a", "--test crash"]);
    assert_rejected(check_run(&list, &crash, TESTS_FAILED), "tests/crash.rs did not finish");
    // Cargo also counts a target that crashes after its tests or exits without output.
    let crash_after_tests = run_output(&[TWO_FAIL, PASS], &["--test a", "--test ok"]);
    assert_rejected(
        check_run(&list, &crash_after_tests, TESTS_FAILED),
        "2 failed targets reported by cargo, but 1 with failed tests",
    );
    let crash_with_summary = TWO_FAIL.to_owned() + CRASH.split_once("\nCaused by:").unwrap().1;
    assert_rejected(
        check_run(&list, &run_output(&[&crash_with_summary, PASS], &["--test a"]), TESTS_FAILED),
        "tests/a.rs exited abnormally",
    );
    let truncated = TWO_FAIL.split_once("test result: ").unwrap().0;
    assert_rejected(
        check_run(&list, &run_output(&[truncated], &["--test a"]), TESTS_FAILED),
        "cargo test exited with 101, but no test failed",
    );
    let missing_name = TWO_FAIL.replace("    net::bad\n", "");
    assert_rejected(
        check_run(&[MUST_PANIC], &run_output(&[&missing_name], &["--test a"]), TESTS_FAILED),
        "the summary of tests/a.rs is inconsistent",
    );
    let second_result = TWO_FAIL.replace("thread 'net::bad'", "test result: ok. 5 passed; 0 failed;");
    assert_rejected(
        check_run(&list, &run_output(&[&second_result], &["--test a"]), TESTS_FAILED),
        "tests/a.rs has more than one result",
    );
    let compile_error = "   Compiling sagemast v0.1.0\nerror: could not compile `sagemast` (test \"ok\")\n";
    assert_rejected(
        check_run(&list, compile_error, TESTS_FAILED),
        "cargo test exited with 101, but no test failed",
    );
    assert_rejected(check_run(&list, "", 0), "no test target was run");
    let output = run_output(&[TWO_FAIL, PASS], &["--test a"]);
    assert_rejected(check_run(&list, &output, 0), "cargo test exited with 0, but tests failed");
    assert_rejected(check_run(&list, &output, KILLED), "cargo test exited with 137");
    assert_rejected(check_run(&list, &run_output(&[PASS], &[]), KILLED), "cargo test exited with 137");
}

#[test]
fn invalid_list_is_rejected() {
    for (list, message) in [
        ("", "is empty"),
        ("\n", ":1: expected 'test | cause | issue N'"),
        ("tests/a.rs::bad\n", ":1: expected 'test | cause | issue N'"),
        ("tests/a.rs::bad | x\n", ":1: expected 'test | cause | issue N'"),
        ("tests/a.rs::bad | x", ":1: expected 'test | cause | issue N'"),
        ("tests/a.rs::bad | x | issue 1 | more\n", ":1: expected 'test | cause | issue N'"),
        (
            "tests/a.rs::bad | x | issue 1\n\ntests/a.rs::good | x | issue 1\n",
            ":2: expected 'test | cause | issue N'",
        ),
        (" | x | issue 1\n", ":1: expected FILE.rs::TEST, got ''"),
        ("bad | x | issue 1\n", ":1: expected FILE.rs::TEST, got 'bad'"),
        ("tests/a.rs | x | issue 1\n", "expected FILE.rs::TEST"),
        ("tests/a.rs::a b | x | issue 1\n", "expected FILE.rs::TEST"),
        ("tests/a.rs::bad |  | issue 1\n", ":1: the cause is missing"),
        ("tests/a.rs::bad | x | \n", ":1: expected 'issue N', got ''"),
        ("tests/a.rs::bad | x | 1\n", "expected 'issue N', got '1'"),
        ("tests/a.rs::bad | x | issue one\n", "expected 'issue N', got 'issue one'"),
        ("tests/a.rs::bad | x | issue 1a\n", "expected 'issue N', got 'issue 1a'"),
        ("tests/a.rs::bad | x | issue 0\n", "expected 'issue N', got 'issue 0'"),
        (
            "tests/a.rs::bad | x | issue 1\ntests/a.rs::bad | y | issue 2\n",
            ":2: tests/a.rs::bad is listed twice",
        ),
        ("t/a.rs::a | x | issue 1\n", "expected FILE.rs::TEST"),
        ("tests/a.rs::bad | x\ty | issue 1\n", ":1: invalid UTF-8 or control characters"),
        ("tests/a.rs::bad | x | issue 1\r\n", ":1: invalid UTF-8 or control characters"),
    ] {
        let path = write_file(list.as_bytes());
        assert_rejected(run_script(&path, None), message);
        std::fs::remove_file(path).unwrap();
    }
    let line = |number: usize| format!("tests/a.rs::t{number} | x | issue {number}\n");
    let four_tests = write_file((1..=4).map(line).collect::<String>().as_bytes());
    assert_rejected(run_script(&four_tests, None), ":4: more than 3 tests");
    for byte in [&b"\xff"[..], b"\xc3", b"\xc0\xaf", b"\xed\xa0\x80", b"\xf4\x90\x80\x80", b"\0"] {
        let valid_line = line(1);
        let list = [valid_line.as_bytes(), b"tests/a.rs::bad | ", byte, b" | issue 1\n"].concat();
        assert_rejected(run_script(&write_file(&list), None), ":2: invalid UTF-8 or control characters");
    }
    assert_rejected(run_script(Path::new(env!("CARGO_TARGET_TMPDIR")), None), "is not a readable file");
}

#[test]
fn valid_list_is_accepted() {
    let three_tests = format!("{NET_BAD}\n{MUST_PANIC}\n{INNER}");
    for list in [NET_BAD.to_owned() + "\n", three_tests.clone() + "\n", three_tests] {
        let path = write_file(list.as_bytes());
        assert_eq!(run_script(&path, None), ScriptResult::accepted_silently(), "{list:?}");
        std::fs::remove_file(path).unwrap();
    }
}
