//! The command as its users run it: exit codes, a short day over sockets, an orderly stop.

mod common;

use std::io::Write;
use std::process::{Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use common::{CIRCUITS, Controller, ask, file, hear, mintstall, says};

#[test]
fn bad_input_is_named_with_its_place_and_exits_with_two() {
    let day = file("bad.json", "{\n  \"exchanges\": 4,\n  \"faults\": [{\"at_s\": \"soon\"}]\n}");
    let output = mintstall(&["day", day.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(says(&output).contains(":3:") && says(&output).contains("faults[0].at_s"), "{}", says(&output));
    let day = file("wrong.json", "{\"exchanges\": 1, \"length_s\": -3}");
    let output = mintstall(&["day", "--virtual", day.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        says(&output).contains("exchanges: ") && says(&output).contains("length_s: "),
        "{}",
        says(&output)
    );
    let output = mintstall(&["config", "check", "no-such-file.json"]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn schemas_are_json_and_name_what_the_files_hold() {
    for (args, field) in [(&["config", "schema"][..], "call_types"), (&["day", "--schema"][..], "faults")] {
        let schema: Value = serde_json::from_slice(&mintstall(args).stdout).unwrap();
        assert!(schema["properties"][field].is_object(), "{field}");
    }
}

#[test]
fn the_schema_that_other_clients_are_written_from_is_what_the_program_speaks() {
    let said: Value = serde_json::from_slice(&mintstall(&["api", "schema"]).stdout).unwrap();
    let kept: Value = serde_json::from_str(include_str!("../../../clients/typescript/schema.json")).unwrap();
    assert_eq!(said, kept, "mintstall api schema > clients/typescript/schema.json; npm run types");
}

#[test]
fn a_load_with_cuts_leaves_no_call_without_an_outcome() {
    let far = mintstall_lab::far::FarServer::start(
        "127.0.0.1:0".parse().unwrap(),
        mintstall_emulator::FarPlan {
            answer_ms: [20.0, 200.0],
            busy: 0.1,
            silent: 0.05,
            ..Default::default()
        },
    )
    .unwrap();
    let controller = Controller::start_with(
        "load.json",
        far.addr(),
        json!({ "limits": { "opens_per_s": 200, "opens_at_once": 50, "resume_ms": 1000 } }),
    );
    let script = json!({
        "groups": [{ "name": "a", "sessions": 100, "per_s": 150, "cuts_per_s": 20, "gone": 0.3 },
                   { "name": "b", "sessions": 20, "per_s": 20, "steady": true }],
        "stages": [{ "name": "one", "for_s": 1 }, { "name": "two", "for_s": 1, "times": 2 }],
        "time_left_ms": 1500, "hold_ms": 100,
    });
    let script = file("load-script.json", &script.to_string());
    let output =
        mintstall(&["load", script.to_str().unwrap(), controller.ready["calls"].as_str().unwrap(), "--json"]);
    assert_eq!(output.status.code(), Some(0), "{}", says(&output));
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let sum = |field: &str| {
        let parts = report["parts"].as_array().unwrap().iter();
        parts.map(|part| part[field].as_u64().unwrap()).sum::<u64>()
    };
    let outcomes = ["in_time", "late", "refused", "failed", "lost", "turned_down"].map(sum);
    assert_eq!(sum("offered"), outcomes.iter().sum::<u64>(), "{report}");
    assert!(sum("offered") > 200 && outcomes[0] > 100 && report["cuts"].as_u64() > Some(10), "{report}");
    assert!(report["taken_up"].as_u64() > Some(5), "{report}");
    // What it held is given back.
    let mut admin = controller.connect("admin");
    let at_rest = (0..400).any(|_| {
        std::thread::sleep(Duration::from_millis(20));
        let status = ask(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)["result"].clone();
        status["calls"] == 0 && status["lines"] == 0 && status["groups"][0]["free"] == CIRCUITS
    });
    let tally = far.counters();
    assert!(at_rest, "{tally:?}");
    assert_eq!((tally.second_out, tally.too_soon), (0, 0), "{tally:?}");
    assert_eq!(controller.stop(), Some(0));
}

#[test]
fn a_short_day_over_sockets_with_a_controller_killed_keeps_the_rules() {
    let day = file(
        "short.json",
        r#"{ "name": "short", "length_s": 6, "exchanges": 4, "regions": ["a", "b"],
             "traffic": { "calls_per_s": 60, "load": 0.8 }, "messages": true, "advice": true,
             "call_types": [{ "hold_s": 2 }],
             "faults": [
               { "at_s": 2, "for_s": 1, "what": { "controllers_killed": { "exchanges": [2] } } },
               { "at_s": 4, "for_s": 0.7, "what": { "link_breaks": { "between": [1, 3] } } },
               { "at_s": 4, "for_s": 1, "what": { "hang": { "exchanges": [4] } } } ] }"#,
    );
    let capture = std::env::temp_dir().join(format!("mintstall-command-{}.pcap", std::process::id()));
    let args = [
        "day",
        day.to_str().unwrap(),
        "--json",
        "--slack-ms",
        "3000",
        "--capture",
        capture.to_str().unwrap(),
    ];
    let output = mintstall(&args);
    let report: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", says(&output)));
    assert_eq!((&report["kept"], output.status.code()), (&json!(true), Some(0)), "{}", says(&output));
    let judged = &report["verdict"]["judged"];
    assert!(judged["calls"].as_u64() > Some(150) && judged["seizures"].as_u64() > Some(100), "{judged}");
    assert_eq!((&report["crashes"], &report["stuck_circuits"]), (&json!(0), &json!(0)));
    assert!(std::fs::metadata(&capture).unwrap().len() > 10_000);
    std::fs::remove_file(capture).unwrap();
}

#[test]
fn a_controller_answers_bad_texts_and_calls_without_a_link_and_stops_in_order() {
    // Nobody listens there: the link never opens.
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let controller = Controller::start("alone.json", nobody);
    let mut line = controller.connect("subscribers");
    assert_eq!(ask(&mut line, "{")["error"]["code"], -32700);
    assert_eq!(
        ask(&mut line, r#"{"jsonrpc":"2.0","id":1,"method":"call.hangup","params":{"call":9}}"#)["error"]["code"],
        -32001
    );
    let offer = r#"{"jsonrpc":"2.0","id":5,"method":"call.offer","params":{"call":1,"dest":2,"number":7,"time_left_ms":2000}}"#;
    let answer = ask(&mut line, offer);
    assert_eq!((&answer["id"], &answer["result"]["answer"]), (&json!(5), &json!("refused")), "{answer}");
    let mut admin = controller.connect("admin");
    let status = ask(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
    assert_eq!((&status["result"]["counts"]["offered"], &status["result"]["owed"]), (&json!(1), &json!(0)));
    assert_eq!(status["result"]["groups"][0]["link"], "down");
    let shown = mintstall(&["status", controller.ready["admin"].as_str().unwrap()]);
    assert!(says(&shown).contains("exchange 1") && shown.status.success(), "{}", says(&shown));
    assert_eq!(controller.stop(), Some(0));
}

#[test]
fn a_stop_answers_every_call_that_was_taken_before_the_process_ends() {
    use mintstall_isup::{Deframer, Frame};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut controller = Controller::start("stop.json", listener.local_addr().unwrap());
    // An exchange that opens the link, resets its circuits when asked, and answers no set-up.
    let far = std::thread::spawn(move || {
        use std::io::Read;
        let (mut stream, _) = listener.accept().unwrap();
        let (mut deframer, mut buffer, mut set_ups) = (Deframer::default(), [0; 4096], 0);
        let mut out = Vec::new();
        Frame::AspUp { asp: Some(2) }.write(&mut out);
        Frame::AspActive.write(&mut out);
        stream.write_all(&out).unwrap();
        loop {
            let count = stream.read(&mut buffer).unwrap_or(0);
            if count == 0 {
                return set_ups;
            }
            deframer.push(&buffer[..count]);
            while let Ok(Some(frame)) = deframer.next() {
                let mut out = Vec::new();
                match Frame::read(frame).unwrap() {
                    Frame::AspUp { .. } => Frame::AspUpAck { asp: Some(2) }.write(&mut out),
                    Frame::AspActive => Frame::AspActiveAck.write(&mut out),
                    Frame::Data(data) => {
                        let message = mintstall_isup::Message::read(data.user).unwrap();
                        match message.body {
                            mintstall_isup::Body::Grs { count } => {
                                let status = mintstall_isup::RangeStatus { count, status: 0 };
                                let body = mintstall_isup::Body::Gra(status);
                                let mut user = Vec::new();
                                mintstall_isup::Message::new(message.cic, body).write(&mut user);
                                let back =
                                    mintstall_isup::ProtocolData { opc: 2, dpc: 1, user: &user, ..data };
                                Frame::Data(back).write(&mut out);
                            }
                            mintstall_isup::Body::Iam(_) => set_ups += 1,
                            _ => {}
                        }
                    }
                    _ => {}
                }
                let _ = stream.write_all(&out);
            }
        }
    });
    // Until the group is there.
    let mut admin = controller.connect("admin");
    for _ in 0..400 {
        let status = ask(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#);
        if status["result"]["groups"][0]["free"] == CIRCUITS && status["result"]["groups"][0]["link"] == "up"
        {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut line = controller.connect("subscribers");
    for call in 1..=3 {
        let offer = json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer",
            "params": { "call": call, "dest": 2, "number": call, "time_left_ms": 900 } });
        line.get_mut().write_all(format!("{offer}\n").as_bytes()).unwrap();
    }
    // Asked on the same line, and so read after the offers.
    assert_eq!(ask(&mut line, "{")["error"]["code"], -32700);
    controller.kill("-TERM");
    let answers: Vec<Value> = (0..3).map(|_| hear(&mut line)).collect();
    assert!(answers.iter().all(|answer| answer["result"]["answer"] != "stands"), "{answers:?}");
    assert_eq!(controller.wait(), Some(0));
    assert!(far.join().unwrap() > 0, "the calls were on their way");
}

#[test]
fn a_token_is_asked_for_scoped_and_withdrawn_in_mid_session() {
    let nobody = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let digest = |token: &str| {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mintstall"))
            .arg("token-digest")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        child.stdin.take().unwrap().write_all(format!("{token}\n").as_bytes()).unwrap();
        String::from_utf8(child.wait_with_output().unwrap().stdout).unwrap().trim().to_string()
    };
    let apps = json!({ "name": "apps", "sha256": digest("secret-a"), "scopes": ["offer"], "customers": [0] });
    let staff = json!({ "name": "staff", "sha256": digest("secret-s"), "scopes": ["admin"] });
    let tokens = file("tokens.json", &json!({ "tokens": [apps, staff] }).to_string());
    let controller = Controller::start_with("tokens-config.json", nobody, json!({ "tokens": tokens }));
    let mut line = controller.connect("subscribers");
    let offer = |call: u64, customer: u16| {
        json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer", "params": { "call": call, "customer": customer,
            "dest": 2, "number": 7, "time_left_ms": 2000 } })
        .to_string()
    };
    let hello = |token: &str| {
        json!({ "jsonrpc": "2.0", "id": 0, "method": "session.hello", "params": { "client": "test", "token": token } })
            .to_string()
    };
    assert_eq!(ask(&mut line, &offer(1, 0))["error"]["code"], -32004);
    assert_eq!(ask(&mut line, &hello("secret"))["error"]["code"], -32004);
    assert_eq!(ask(&mut line, &hello("secret-a"))["result"]["token"], "apps");
    assert_eq!(ask(&mut line, &offer(2, 0))["result"]["answer"], "refused");
    assert_eq!(ask(&mut line, &offer(3, 1))["error"]["code"], -32004, "another customer");
    // The admin port wants a token of its own.
    let mut admin = controller.connect("admin");
    assert_eq!(ask(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)["error"]["code"], -32004);
    let status =
        |token: &str| json!({ "jsonrpc": "2.0", "id": 1, "method": "status", "token": token }).to_string();
    assert_eq!(ask(&mut admin, &status("secret-a"))["error"]["code"], -32004);
    assert_eq!(ask(&mut admin, &status("secret-s"))["result"]["exchange"], 1);
    // A file that makes no sense changes nothing; one without the token ends the session's rights.
    let hang_up = || controller.kill("-HUP");
    std::fs::write(&tokens, "{").unwrap();
    hang_up();
    assert_eq!(ask(&mut line, &offer(4, 0))["result"]["answer"], "refused");
    std::fs::write(&tokens, json!({ "tokens": [staff] }).to_string()).unwrap();
    hang_up();
    // The signal is acted on between two turns of the loop; the first answers may still come from before it.
    let denied = (5..200).any(|call| {
        std::thread::sleep(Duration::from_millis(20));
        ask(&mut line, &offer(call, 0))["error"]["message"] == "the token was withdrawn"
    });
    assert!(denied);
    assert_eq!(controller.stop(), Some(0));
}
