//! The list of known failures that CI passes over, `KNOWN-RED.txt`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const TESTS: &str = "soak::a_test\nanother_test\n";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Reads a list, with the tests above as all that there are.
fn read_list(name: &str, list: &str) -> Output {
    let directory = std::env::temp_dir().join(format!("mintstall-known-red-{}-{name}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let (list_path, tests_path) = (directory.join("list"), directory.join("tests"));
    fs::write(&list_path, list).unwrap();
    fs::write(&tests_path, TESTS).unwrap();
    let output = Command::new("bash")
        .arg(".ci/known-red.sh")
        .args([&list_path, &tests_path])
        .current_dir(root())
        .output()
        .unwrap();
    fs::remove_dir_all(directory).unwrap();
    output
}

fn error(name: &str, list: &str) -> String {
    let output = read_list(name, list);
    assert!(!output.status.success(), "accepted: {list}");
    String::from_utf8(output.stderr).unwrap()
}

#[test]
fn tests_and_scripts_are_told_apart() {
    let list = "another_test | cargo test another_test, seed 3 | 2 of 5 runs | 41\n\
                review/1/run.sh | review/1/run.sh, no seed | broken 5 of 5 | 42\n";
    let output = read_list("entries", list);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), "test another_test\nscript review/1/run.sh\n");
    assert!(read_list("empty", "").stdout.is_empty());
}

// Guards against: an entry of which CI said "passed this time" though no test has its name.
#[test]
fn a_name_that_is_neither_a_test_nor_a_script_is_an_error() {
    let first = "another_test | command | seen | 41\n";
    let message = error("unknown", &format!("{first}a_test | command | seen | 41\n"));
    assert!(message.contains("list:2: 'a_test' is neither a test nor a script"), "{message}");
    assert!(error("directory", "review | command | seen | 41\n").contains("neither"));
}

#[test]
fn an_incomplete_entry_is_an_error_with_its_place() {
    let incomplete = [
        "another_test | command | 41\n",
        "another_test | command | seen | \n",
        "another_test |  | seen | 41\n",
        "another_test | command | seen | soon\n",
        "another_test | command | seen | 41 | more\n",
        "\n",
    ];
    for (index, list) in incomplete.into_iter().enumerate() {
        let message = error(&format!("incomplete-{index}"), list);
        assert!(message.contains("list:1: not 'test |"), "{list}: {message}");
    }
}

#[test]
fn the_list_of_the_project_names_tests_or_scripts_in_whole_entries() {
    let list = fs::read_to_string(root().join("KNOWN-RED.txt")).unwrap_or_default();
    for line in list.lines() {
        assert_eq!(line.split(" | ").count(), 4, "{line}");
    }
}
