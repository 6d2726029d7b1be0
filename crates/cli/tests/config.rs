//! The check of a configuration: exit codes, errors with their fields, findings and differences.

use std::fs;
use std::process::{Command, Output};
use tempfile::TempDir;

const GOOD: &str = include_str!("../../../platform/tests/data/configuration.json");
/// The same with another account that has the first one's key.
const SHARED_KEY: &str = include_str!("../../../platform/tests/data/shared-key.json");

struct Files(TempDir);

impl Files {
    fn new() -> Files {
        Files(tempfile::tempdir().unwrap())
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.path().join(name);
        fs::write(&path, text).unwrap();
        path.display().to_string()
    }
}

/// Exit code and everything that was printed.
fn check(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ebonywalk"));
    let output: Output = command.args(["config", "check"]).args(args).output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&printed).into_owned())
}

#[test]
fn a_good_configuration_is_valid_and_keys_are_not_shown() {
    let files = Files::new();
    let (code, printed) = check(&[&files.write("good.json", GOOD)]);
    assert_eq!(code, Some(0), "{printed}");
    assert!(printed.contains("valid, version 3"), "{printed}");
    assert!(!printed.contains("secret"), "{printed}");
}

/// Each invalid file must be refused with its field or entry and the cause.
#[test]
fn errors_name_entry_and_cause() {
    let files = Files::new();
    let cases = [
        ("{", "line 1"),
        (&GOOD.replace("\"service\":\"s\"", "\"service\":\"t\""), "queue r: service t"),
        (&GOOD.replace("3000", "0"), "queue r: its timeout must not be 0"),
        (&GOOD.replace("\"version\":3", "\"version\":0"), "version: must not be 0"),
        (&GOOD.replace("\"weight\":4", "\"weight\":\"x\""), "account a: weight: must be a number"),
        (SHARED_KEY, "account a: shares a key with account b"),
    ];
    for (text, cause) in cases {
        let (code, printed) = check(&[&files.write("bad.json", text)]);
        assert_eq!(code, Some(2), "{printed}");
        assert!(printed.contains(cause), "{cause}: {printed}");
        assert!(!printed.contains("secret"), "{printed}");
    }
}

/// Entries that no request or caller can reach and limits that contradict each other are findings.
#[test]
fn findings_give_exit_code_1() {
    let files = Files::new();
    let cases = [
        (GOOD.replace("\"prefix\":\"/q/\"", "\"prefix\":\"q/\""), "must begin with `/`"),
        (GOOD.replace("q.example", ""), "host: is empty"),
        (GOOD.replace("\"attempts\":3", "\"attempts\":0"), "attempts: 0 counts as 1"),
        (GOOD.replace("1.5", "0.5"), "stretch: below 1"),
        (GOOD.replace("[\"first-secret\"]", "[]"), "account a: keys: without one"),
        (GOOD.replace("\"weight\":4", "\"weight\":0"), "account a: weight: 0"),
        (GOOD.replace("{\"name\":\"s\"}", "{\"name\":\"s\",\"spare\":true}"), "switched off"),
        (GOOD.replace("[{\"name\":\"s\"}]", "[{\"name\":\"s\"},{\"name\":\"t\"}]"), "service t"),
        (
            GOOD.replace("1.5}", "1.5,\"advice\":{\"decideMs\":400,\"eachMs\":6,\"validMs\":900}}"),
            "a call takes 406 ms, more than the 250 ms",
        ),
    ];
    for (text, cause) in cases {
        let (code, printed) = check(&[&files.write("odd.json", &text)]);
        assert_eq!(code, Some(1), "{cause}: {printed}");
        assert!(printed.contains(cause), "{cause}: {printed}");
    }
}

#[test]
fn differences_are_shown_by_entry_and_field() {
    let files = Files::new();
    let before = files.write("before.json", GOOD);
    let text = GOOD.replace("\"version\":3", "\"version\":5").replace("first-", "second-");
    let after = files.write("after.json", &text.replace("\"attempts\":3", "\"attempts\":2"));
    let (code, printed) = check(&[&after, "--against", &before]);
    assert_eq!(code, Some(0), "{printed}");
    for line in ["queue r at q.example/q/: attempts: 3 -> 2", "removed", "added"] {
        assert!(printed.contains(line), "{line}: {printed}");
    }
    assert!(!printed.contains("secret"), "{printed}");
    let (code, printed) = check(&[&before, "--against", &after]);
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("version: 3 is not higher than 5"), "{printed}");
    let (code, printed) = check(&[&before, "--against", &before, "--output", "json"]);
    assert_eq!(code, Some(1), "{printed}");
    assert!(printed.contains("\"differences\": []"), "{printed}");
}
