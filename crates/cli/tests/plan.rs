//! `mintstall plan` as a process: results, validation errors and exit codes.

mod common;

use serde_json::{Value, json};

use common::{mintstall, output_text, temp_file};

/// An example fleet of eight exchanges.
const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fleets/eight.json");

fn json_output(args: &[&str]) -> Value {
    let output = mintstall(args);
    assert!(output.status.success(), "{}", output_text(&output));
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", output_text(&output)))
}

#[test]
fn erlang_works_out_the_third_of_offered_circuits_and_blocking() {
    let circuits = json_output(&["plan", "erlang", "--offered", "84.06", "--blocking", "0.01", "--json"]);
    assert_eq!(circuits["circuits"], 100);
    let blocking = json_output(&["plan", "erlang", "--offered", "1", "--circuits", "1", "--json"]);
    assert_eq!(blocking["blocking"], 0.5);
    let output = mintstall(&["plan", "erlang", "--offered", "84.06"]);
    assert_eq!(output.status.code(), Some(2));
    let output = mintstall(&["plan", "erlang", "--offered=-1", "--circuits", "3"]);
    assert!(
        output.status.code() == Some(2) && output_text(&output).contains("offered: -1"),
        "{}",
        output_text(&output)
    );
}

#[test]
fn a_fleet_is_shown_saturated_sized_compared_and_reduced() {
    let shown = json_output(&["plan", "show", EIGHT, "--json"]);
    assert!(shown["free"]["stood"].as_f64() > Some(0.95) && shown["free"]["settled"] == true, "{shown}");
    let points = json_output(&["plan", "saturate", EIGHT, "--to", "2", "--step", "0.25", "--json"]);
    let growth: Vec<f64> =
        points.as_array().unwrap().iter().map(|point| point["growth"].as_f64().unwrap()).collect();
    assert!(!growth.is_empty() && growth.is_sorted(), "{points}");
    assert_eq!(points[0]["limit"]["group"], json!([1, 2]), "{points}");
    let sized = json_output(&["plan", "size", EIGHT, "--blocking", "0.01", "--json"]);
    let small =
        sized["groups"].as_array().unwrap().iter().find(|group| group["between"] == json!([1, 2])).unwrap();
    assert!(small["needed"].as_u64() > Some(30), "{small}");
    let compared = json_output(&["plan", "compare", EIGHT, EIGHT, "--json"]);
    assert_eq!((&compared["blocked"], &compared["loads"]), (&json!([]), &json!([])));
    let lost = json_output(&["plan", "lose", EIGHT, "--zone", "north", "--redials", "2", "--json"]);
    assert!(lost["gone"].as_f64() > Some(0.7), "{lost}");
}

#[test]
fn validation_errors_of_a_fleet_name_their_places() {
    let mut fleet: Value = serde_json::from_str(&std::fs::read_to_string(EIGHT).unwrap()).unwrap();
    fleet["groups"][3]["between"] = json!([1, 99]);
    let path = temp_file("fleet.json", &fleet.to_string());
    let output = mintstall(&["plan", "check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        output_text(&output).contains("groups[3].between: there is no exchange 99"),
        "{}",
        output_text(&output)
    );
    let output = mintstall(&["plan", "lose", EIGHT, "--zone", "west"]);
    assert!(output.status.code() == Some(2) && output_text(&output).contains("no exchange in this region"));
}
