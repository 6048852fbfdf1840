//! `mintstall plan` as its users run it.

mod common;

use serde_json::{Value, json};

use common::{file, mintstall, says};

const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../fleets/eight.json");

fn said(args: &[&str]) -> Value {
    let output = mintstall(args);
    assert!(output.status.success(), "{}", says(&output));
    serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", says(&output)))
}

#[test]
fn the_third_of_offered_circuits_and_blocking_is_worked_out() {
    let circuits = said(&["plan", "erlang", "--offered", "84.06", "--blocking", "0.01", "--json"]);
    assert_eq!(circuits["circuits"], 100);
    let blocking = said(&["plan", "erlang", "--offered", "1", "--circuits", "1", "--json"]);
    assert_eq!(blocking["blocking"], 0.5);
    let output = mintstall(&["plan", "erlang", "--offered", "84.06"]);
    assert_eq!(output.status.code(), Some(2));
    let output = mintstall(&["plan", "erlang", "--offered=-1", "--circuits", "3"]);
    assert!(output.status.code() == Some(2) && says(&output).contains("offered: -1"), "{}", says(&output));
}

#[test]
fn a_fleet_is_shown_saturated_sized_and_cut() {
    let shown = said(&["plan", "show", EIGHT, "--json"]);
    assert!(shown["free"]["stood"].as_f64() > Some(0.95) && shown["free"]["settled"] == true, "{shown}");
    let order = said(&["plan", "saturate", EIGHT, "--to", "2", "--step", "0.25", "--json"]);
    let growth: Vec<f64> =
        order.as_array().unwrap().iter().map(|of| of["growth"].as_f64().unwrap()).collect();
    assert!(!growth.is_empty() && growth.is_sorted(), "{order}");
    assert_eq!(order[0]["limit"]["group"], json!([1, 2]), "{order}");
    let sized = said(&["plan", "size", EIGHT, "--blocking", "0.01", "--json"]);
    let small = sized["groups"].as_array().unwrap().iter().find(|of| of["between"] == json!([1, 2])).unwrap();
    assert!(small["needed"].as_u64() > Some(30), "{small}");
    let compared = said(&["plan", "compare", EIGHT, EIGHT, "--json"]);
    assert_eq!((&compared["blocked"], &compared["loads"]), (&json!([]), &json!([])));
    let lost = said(&["plan", "lose", EIGHT, "--zone", "north", "--redials", "2", "--json"]);
    assert!(lost["gone"].as_f64() > Some(0.7), "{lost}");
}

#[test]
fn faults_of_a_description_are_told_with_their_places() {
    let mut fleet: Value = serde_json::from_str(&std::fs::read_to_string(EIGHT).unwrap()).unwrap();
    fleet["groups"][3]["between"] = json!([1, 99]);
    let path = file("fleet.json", &fleet.to_string());
    let output = mintstall(&["plan", "check", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(says(&output).contains("groups[3].between: there is no exchange 99"), "{}", says(&output));
    let output = mintstall(&["plan", "lose", EIGHT, "--zone", "west"]);
    assert!(output.status.code() == Some(2) && says(&output).contains("no exchange is there"));
}
