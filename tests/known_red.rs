//! What `.ci/known-red` makes of lists and of recorded runs of `cargo test --locked --no-fail-fast`.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Two tests that fail, one of which prints what libtest might, one that is ignored and one that passes.
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

/// As above where tests run one by one: what they write to standard error comes before the result.
const ONE_FAILS: &str = "     Running unittests src/main.rs (target/debug/deps/sagemast-3ca256409caba513)

running 2 tests
test net::tests::inner ... sagemast: a line of the program's own
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

/// A binary that aborts.
const CRASH: &str = "     Running tests/crash.rs (target/debug/deps/crash-c9233cf0b886f505)

running 2 tests
error: test failed, to rerun pass `--test crash`

Caused by:
  process didn't exit successfully: `target/debug/deps/crash-c9233cf0b886f505` (signal: 6, SIGABRT: process abort signal)
";

/// All well, with the doc tests that come last.
const PASS: &str = "     Running tests/ok.rs (target/debug/deps/ok-927eec8c661fd15f)

running 1 test
test fine ... ok

test result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

   Doc-tests sagemast

running 0 tests

test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out; finished in 0.00s

";

/// A doc test that fails.
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

const NET_BAD: &str = "tests/a.rs::net::bad | one is not two | issue 7";
const MUST_PANIC: &str = "tests/a.rs::must_panic | it doesn't; öfter | issue 12";
const INNER: &str = "src/main.rs::net::tests::inner | asserts what is false | issue 7";

/// A run in which these targets failed.
fn run(parts: &[&str], failed: &[&str]) -> String {
    let head = "    Finished `test` profile [optimized + debuginfo] target(s) in 8.29s\n";
    let tail = match failed.len() {
        0 => String::new(),
        1 => format!("error: 1 target failed:\n    `{}`\n", failed[0]),
        many => format!("error: {many} targets failed:\n    `{}`\n", failed.join("`\n    `")),
    };
    format!("{head}{}{tail}", parts.concat())
}

/// A file of this process's own.
fn file(content: &[u8]) -> PathBuf {
    static FILES: AtomicUsize = AtomicUsize::new(0);
    let name = format!("known-red-{}-{}", std::process::id(), FILES.fetch_add(1, Ordering::SeqCst));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// What the script says on either stream, and whether it was content.
fn call(list: &Path, run: Option<(&str, i32)>) -> (bool, String) {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let mut command = Command::new("bash");
    command.arg(script).arg(list);
    let output = run.map(|(output, status)| (file(output.as_bytes()), status));
    if let Some((output, status)) = &output {
        command.arg(output).arg(status.to_string());
    }
    let got = command.output().unwrap();
    if let Some((output, _)) = output {
        std::fs::remove_file(output).unwrap();
    }
    let said = [got.stdout, got.stderr].concat();
    (got.status.success(), String::from_utf8_lossy(&said).into_owned())
}

/// Judges a run by a list of these lines.
fn judge(lines: &[&str], run: &str, status: i32) -> (bool, String) {
    let list = file((lines.join("\n") + "\n").as_bytes());
    let verdict = call(&list, Some((run, status)));
    std::fs::remove_file(list).unwrap();
    verdict
}

fn absent() -> PathBuf {
    let path = file(b"");
    std::fs::remove_file(&path).unwrap();
    path
}

#[track_caller]
fn rejects((passed, said): (bool, String), why: &str) {
    assert!(!passed, "let pass, saying {said:?}");
    assert!(said.contains(why), "said {said:?}, not {why:?}");
}

#[test]
fn without_a_list_all_tests_have_to_pass() {
    assert_eq!(call(&absent(), None), (true, String::new()));
    assert_eq!(call(&absent(), Some((&run(&[PASS], &[]), 0))), (true, String::new()));
    let red = run(&[ONE_FAILS, PASS], &["--bin sagemast"]);
    rejects(call(&absent(), Some((&red, 101))), "src/main.rs::net::tests::inner failed");
}

#[test]
fn exactly_the_listed_tests_may_fail_and_are_printed() {
    let red = run(&[ONE_FAILS, TWO_FAIL, PASS], &["--bin sagemast", "--test a"]);
    let (passed, said) = judge(&[NET_BAD, MUST_PANIC, INNER], &red, 101);
    assert!(passed, "{said:?}");
    let lines: Vec<&str> = said.lines().collect();
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
fn a_failure_that_is_not_listed_fails() {
    let red = run(&[ONE_FAILS, TWO_FAIL, PASS], &["--bin sagemast", "--test a"]);
    rejects(judge(&[NET_BAD, INNER], &red, 101), "tests/a.rs::must_panic failed");
    // Of the same name, but of another file, or part of another's name.
    let elsewhere = "tests/ok.rs::net::bad | x | issue 7";
    rejects(judge(&[elsewhere, MUST_PANIC, INNER], &red, 101), "tests/a.rs::net::bad failed");
    let part = "tests/a.rs::bad | x | issue 7";
    rejects(judge(&[part, MUST_PANIC, INNER], &red, 101), "tests/a.rs::net::bad failed");
    let doc = run(&[TWO_FAIL, DOC_FAILS], &["--test a", "--doc"]);
    rejects(judge(&[NET_BAD, MUST_PANIC], &doc, 101), "src/lib.rs - f (line 1) failed");
}

#[test]
fn a_listed_test_that_does_not_fail_or_does_not_exist_fails() {
    let red = run(&[TWO_FAIL, PASS], &["--test a"]);
    for (test, why) in [
        ("tests/a.rs::good", "tests/a.rs::good did not fail: take it off"),
        ("tests/a.rs::panics", "tests/a.rs::panics did not fail: take it off"),
        ("tests/a.rs::idle", "tests/a.rs::idle did not fail: take it off"),
        ("tests/ok.rs::fine", "tests/ok.rs::fine did not fail: take it off"),
        ("tests/a.rs::missing", "tests/a.rs::missing is no test that was run"),
        ("tests/b.rs::net::bad", "tests/b.rs::net::bad is no test that was run"),
    ] {
        rejects(judge(&[NET_BAD, MUST_PANIC, &format!("{test} | x | issue 1")], &red, 101), why);
    }
    rejects(judge(&["tests/ok.rs::fine | x | issue 1"], &run(&[PASS], &[]), 0), "did not fail");
}

#[test]
fn a_run_that_did_not_come_to_its_end_fails() {
    let list = [NET_BAD, MUST_PANIC];
    let crash = run(&[TWO_FAIL, CRASH, PASS], &["--test a", "--test crash"]);
    rejects(judge(&list, &crash, 101), "tests/crash.rs has not come to its end");
    // Cargo counts a target that crashes once its tests are over, or that goes without a word.
    let late = run(&[TWO_FAIL, PASS], &["--test a", "--test ok"]);
    rejects(judge(&list, &late, 101), "2 targets failed for cargo, 1 by their tests");
    let at_exit = TWO_FAIL.to_owned() + CRASH.split_once("\nCaused by:").unwrap().1;
    rejects(judge(&list, &run(&[&at_exit, PASS], &["--test a"]), 101), "tests/a.rs has crashed");
    let cut = TWO_FAIL.split_once("test result: ").unwrap().0;
    rejects(judge(&list, &run(&[cut], &["--test a"]), 101), "cargo test exited with 101, and no test failed");
    let short = TWO_FAIL.replace("    net::bad\n", "");
    rejects(judge(&[MUST_PANIC], &run(&[&short], &["--test a"]), 101), "the sums of tests/a.rs do not fit");
    let twice = TWO_FAIL.replace("thread 'net::bad'", "test result: ok. 5 passed; 0 failed;");
    rejects(judge(&list, &run(&[&twice], &["--test a"]), 101), "tests/a.rs has two results");
    let compile = "   Compiling sagemast v0.1.0\nerror: could not compile `sagemast` (test \"ok\")\n";
    rejects(judge(&list, compile, 101), "cargo test exited with 101, and no test failed");
    rejects(judge(&list, "", 0), "no test was run");
    let red = run(&[TWO_FAIL, PASS], &["--test a"]);
    rejects(judge(&list, &red, 0), "cargo test exited with 0, and tests failed");
    rejects(judge(&list, &red, 137), "cargo test exited with 137");
    rejects(judge(&list, &run(&[PASS], &[]), 137), "cargo test exited with 137");
}

#[test]
fn a_list_that_is_not_sound_fails_before_anything_is_run() {
    for (list, why) in [
        ("", "is empty"),
        ("\n", ":1: not 'test | cause | issue N'"),
        ("tests/a.rs::bad\n", ":1: not 'test | cause | issue N'"),
        ("tests/a.rs::bad | x\n", ":1: not 'test | cause | issue N'"),
        ("tests/a.rs::bad | x", ":1: not 'test | cause | issue N'"),
        ("tests/a.rs::bad | x | issue 1 | more\n", ":1: not 'test | cause | issue N'"),
        ("tests/a.rs::bad | x | issue 1\n\ntests/a.rs::good | x | issue 1\n", ":2: not"),
        (" | x | issue 1\n", ":1: '' is not FILE.rs::TEST"),
        ("bad | x | issue 1\n", ":1: 'bad' is not FILE.rs::TEST"),
        ("tests/a.rs | x | issue 1\n", "is not FILE.rs::TEST"),
        ("tests/a.rs::a b | x | issue 1\n", "is not FILE.rs::TEST"),
        ("tests/a.rs::bad |  | issue 1\n", ":1: no cause"),
        ("tests/a.rs::bad | x | \n", ":1: '' is not 'issue N'"),
        ("tests/a.rs::bad | x | 1\n", "'1' is not 'issue N'"),
        ("tests/a.rs::bad | x | issue one\n", "'issue one' is not 'issue N'"),
        ("tests/a.rs::bad | x | issue 1a\n", "'issue 1a' is not 'issue N'"),
        ("tests/a.rs::bad | x | issue 0\n", "'issue 0' is not 'issue N'"),
        (
            "tests/a.rs::bad | x | issue 1\ntests/a.rs::bad | y | issue 2\n",
            ":2: tests/a.rs::bad is listed twice",
        ),
        ("t/a.rs::a | x | issue 1\n", "is not FILE.rs::TEST"),
        ("tests/a.rs::bad | x\ty | issue 1\n", ":1: not plain text in UTF-8"),
        ("tests/a.rs::bad | x | issue 1\r\n", ":1: not plain text in UTF-8"),
    ] {
        let path = file(list.as_bytes());
        rejects(call(&path, None), why);
        std::fs::remove_file(path).unwrap();
    }
    let line = |number: usize| format!("tests/a.rs::t{number} | x | issue {number}\n");
    let many = file((1..=4).map(line).collect::<String>().as_bytes());
    rejects(call(&many, None), ":4: more than 3 tests");
    for byte in [&b"\xff"[..], b"\xc3", b"\xc0\xaf", b"\xed\xa0\x80", b"\xf4\x90\x80\x80", b"\0"] {
        let first = line(1);
        let list = [first.as_bytes(), b"tests/a.rs::bad | ", byte, b" | issue 1\n"].concat();
        rejects(call(&file(&list), None), ":2: not plain text in UTF-8");
    }
    rejects(call(Path::new(env!("CARGO_TARGET_TMPDIR")), None), "is not a file that can be read");
}

#[test]
fn a_sound_list_passes_the_check_of_its_form() {
    let three = format!("{NET_BAD}\n{MUST_PANIC}\n{INNER}");
    for list in [NET_BAD.to_owned() + "\n", three.clone() + "\n", three] {
        let path = file(list.as_bytes());
        assert_eq!(call(&path, None), (true, String::new()), "{list:?}");
        std::fs::remove_file(path).unwrap();
    }
}
