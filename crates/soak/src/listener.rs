//! Listeners that can be partitioned: new connections are then never established, as if the machine were lost.
//!
//! Dropping packets needs privileges. The kernel itself drops connection requests while a listener's accept queue is
//! full, so a partition fills that queue with connections of its own and accepts nothing.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

/// Size of the accept queue; enough for all connections that a controller opens at once.
const BACKLOG: i32 = 16;

#[derive(Debug)]
pub struct PartitionableListener {
    listener: TcpListener,
    addr: SocketAddr,
    /// Connections that fill the accept queue during a partition.
    fillers: Vec<Socket>,
    /// Local ports of fillers that have not been accepted yet.
    filler_ports: BTreeSet<u16>,
}

fn stream_socket() -> io::Result<Socket> {
    Socket::new(Domain::IPV4, Type::STREAM, None)
}

/// Returns a non-blocking listener at an address that another listener may just have released.
pub fn listen(addr: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = stream_socket()?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl PartitionableListener {
    pub fn bind(addr: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            listener: listen(addr, BACKLOG)?,
            addr,
            fillers: Vec::new(),
            filler_ports: BTreeSet::new(),
        })
    }

    /// Prevents new connections from being established.
    pub fn partition(&mut self) -> io::Result<()> {
        // The kernel queues one connection more than the backlog; the remaining fillers stay in the connecting state.
        for _ in 0..BACKLOG + 4 {
            let socket = stream_socket()?;
            socket.set_nonblocking(true)?;
            // A non-blocking connect returns an error at once, since the connection is not established yet.
            let _ = socket.connect(&self.addr.into());
            if let Some(local) = socket.local_addr()?.as_socket() {
                self.filler_ports.insert(local.port());
            }
            self.fillers.push(socket);
        }
        Ok(())
    }

    /// Allows new connections again.
    pub fn heal(&mut self) {
        self.fillers.clear();
    }

    /// Accepts the next connection that is not a filler.
    pub fn accept(&mut self) -> Option<TcpStream> {
        if !self.fillers.is_empty() {
            return None;
        }
        while let Ok((stream, peer)) = self.listener.accept() {
            if !self.filler_ports.remove(&peer.port()) {
                return Some(stream);
            }
        }
        None
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    // If the option can't be set, the connection is closed without a reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}
