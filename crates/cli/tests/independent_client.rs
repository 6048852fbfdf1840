//! A client written only from `docs/call-control.md`, with a WebSocket library that shares no code with the server.

mod common;

use std::net::TcpStream;

use futures::executor::block_on;
use futures::io::AllowStdIo;
use mintstall_emulator::FarPlan;
use mintstall_lab::far::FarServer;
use serde_json::{Value, json};
use soketto::handshake::{Client, ServerResponse};

use common::{CIRCUITS, Controller, request};

#[test]
fn a_client_of_another_library_opens_a_session_and_makes_and_watches_a_call() {
    let far = FarServer::start("127.0.0.1:0".parse().unwrap(), FarPlan::default()).unwrap();
    let controller = Controller::start("independent.json", far.addr());
    let mut admin = controller.connect("admin");
    while request(&mut admin, r#"{"jsonrpc":"2.0","id":1,"method":"status"}"#)["result"]["groups"][0]["free"]
        != CIRCUITS
    {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    block_on(async {
        let addr = controller.ready["calls"].as_str().unwrap();
        let stream = TcpStream::connect(addr).unwrap();
        let mut client = Client::new(AllowStdIo::new(stream), addr, "/calls");
        client.add_protocol("mintstall.calls.v1");
        let ServerResponse::Accepted { protocol } = client.handshake().await.unwrap() else {
            panic!("the handshake was rejected")
        };
        assert_eq!(protocol.as_deref(), Some("mintstall.calls.v1"));
        let (mut sender, mut receiver) = client.into_builder().finish();
        let mut request = async |text: Value| {
            sender.send_text(text.to_string()).await.unwrap();
            sender.flush().await.unwrap();
            let mut received = Vec::new();
            receiver.receive_data(&mut received).await.unwrap();
            serde_json::from_slice::<Value>(&received).unwrap()
        };
        let hello =
            json!({ "jsonrpc": "2.0", "id": 1, "method": "session.hello", "params": { "client": "other" } });
        assert_eq!(request(hello).await["result"]["server"], "mintstall");
        let subscribe = json!({ "jsonrpc": "2.0", "id": 2, "method": "calls.subscribe", "params": {} });
        assert_eq!(request(subscribe).await["result"]["cursor"], 1);
        let offer = json!({ "jsonrpc": "2.0", "id": 3, "method": "call.offer",
            "params": { "call": 1, "dest": 2, "number": 5551000, "time_left_ms": 5000 } });
        let answer = request(offer).await;
        assert_eq!((&answer["id"], &answer["result"]["answer"]), (&json!(3), &json!("stands")));
        // The event follows the answer, so it is the first message read after the next request.
        let get = json!({ "jsonrpc": "2.0", "id": 4, "method": "call.get", "params": { "call": 1 } });
        let news = request(get).await;
        assert_eq!((&news["method"], &news["params"]["number"]), (&json!("call.news"), &json!(1)));
        assert_eq!(news["params"]["event"]["exchange_call"], answer["result"]["exchange_call"]);
        let hang_up = json!({ "jsonrpc": "2.0", "id": 5, "method": "call.hangup", "params": { "call": 1 } });
        assert_eq!(request(hang_up).await["result"]["state"], "stands");
        sender.close().await.unwrap();
    });
    assert_eq!(controller.stop(), Some(0));
}
