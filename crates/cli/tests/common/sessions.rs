//! Clients of `mintstall run` over WebSocket, and a controller with an emulated exchange at the far end of its link.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use mintstall_client::{Client, SessionConfig};
use mintstall_emulator::FarPlan;
use mintstall_lab::far::FarServer;
use mintstall_websocket::{
    ClientHandshake, ClientHandshakeState, CloseInfo, WebSocketConnection, WebSocketEvent,
};
use serde_json::{Value, json};

use super::{CIRCUITS, Controller, TIMEOUT};

/// A controller and its far exchange, with the link up.
pub struct Site {
    pub controller: Controller,
    pub far: FarServer,
}

impl Site {
    pub fn start(name: &str, far: FarPlan, extra: Value) -> Self {
        let far = FarServer::start("127.0.0.1:0".parse().unwrap(), far).unwrap();
        let controller = Controller::start_with(name, far.addr(), extra);
        let site = Self { controller, far };
        site.wait_until("the link is up", |status| {
            status["groups"][0]["free"] == CIRCUITS && status["groups"][0]["link"] == "up"
        });
        site
    }

    pub fn calls_addr(&self) -> SocketAddr {
        self.controller.ready["calls"].as_str().unwrap().parse().unwrap()
    }

    pub fn status(&self) -> Value {
        self.controller.status()
    }

    pub fn wait_until(&self, description: &str, reached: impl Fn(&Value) -> bool) -> Value {
        self.controller.wait_until(description, reached)
    }

    /// Waits until all circuits are free and the controller has no calls.
    pub fn wait_until_idle(&self) {
        self.wait_until("no calls and all circuits free", |status| {
            status["calls"] == 0 && status["groups"][0]["free"] == CIRCUITS
        });
        assert_eq!(self.far.counters().in_use, 0);
    }

    pub fn client(&self) -> Client {
        Client::connect(vec![self.calls_addr()], SessionConfig::named("test"), TIMEOUT).unwrap()
    }

    /// Checks that the far exchange saw no call with two seizures at a time and none that was sent again too soon, and that the
    /// controller stops in order.
    pub fn finish(self) {
        let counters = self.far.counters();
        assert_eq!((counters.second_out, counters.too_soon), (0, 0), "{counters:?}");
        assert_eq!(self.controller.stop(), Some(0));
    }
}

/// A WebSocket connection under control of the test: it reads only on request, and dropping it cuts the connection.
pub struct RawClient {
    pub stream: TcpStream,
    pub connection: Box<WebSocketConnection>,
}

impl RawClient {
    pub fn open(addr: SocketAddr) -> Self {
        let mut stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let (mut handshake, request) = ClientHandshake::new(addr, 1 << 20).unwrap();
        stream.write_all(&request).unwrap();
        let mut buffer = [0; 4096];
        loop {
            let count = stream.read(&mut buffer).unwrap();
            match handshake.push(&buffer[..count]) {
                ClientHandshakeState::Open(connection) => return Self { stream, connection },
                ClientHandshakeState::Incomplete => {}
                ClientHandshakeState::Rejected(why) => panic!("{why}"),
            }
        }
    }

    pub fn send(&mut self, text: &Value) -> std::io::Result<()> {
        self.connection.send_text(&text.to_string());
        self.stream.write_all(&std::mem::take(self.connection.output()))
    }

    /// The next text, or the close information of the connection.
    pub fn receive(&mut self) -> Result<Value, CloseInfo> {
        let mut buffer = [0; 1];
        let mut texts = Vec::new();
        while texts.is_empty() {
            // One octet at a time, so that no part of the following text is read.
            match self.stream.read(&mut buffer) {
                Ok(1) => {}
                other => panic!("{other:?}, {:?}", self.connection.close_info()),
            }
            self.connection.on_octets(&buffer, &mut |event| match event {
                WebSocketEvent::Text(text) => texts.push(text),
                WebSocketEvent::PingOrPong => {}
            });
            if let Some(close_info) = self.connection.close_info() {
                return Err(close_info.clone());
            }
        }
        Ok(serde_json::from_str(&texts[0]).unwrap())
    }

    pub fn request(&mut self, method: &str, params: Value) -> Value {
        self.send(&json!({ "jsonrpc": "2.0", "id": "a", "method": method, "params": params })).unwrap();
        self.receive().unwrap()
    }

    pub fn hello(&mut self, resume: Option<&Value>) -> Value {
        let mut hello = json!({ "client": "test", "resumable": true });
        resume.iter().for_each(|key| hello["resume"] = (*key).clone());
        self.request("session.hello", hello)["result"].clone()
    }

    pub fn offer(&mut self, call: u64, time_left_ms: u64) {
        self.send(&offer_request(call, time_left_ms)).unwrap();
    }
}

/// The request that offers a call to a number of its own.
pub fn offer_request(call: u64, time_left_ms: u64) -> Value {
    let params = json!({ "call": call, "dest": 2, "number": 5_550_000 + call, "time_left_ms": time_left_ms });
    json!({ "jsonrpc": "2.0", "id": call, "method": "call.offer", "params": params })
}
