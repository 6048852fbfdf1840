//! Listeners whose way can be cut: new connections then never come up, as with a machine that has vanished.
//!
//! Without privileges no packet can be dropped. The kernel drops connection requests itself while a listener's queue is
//! full, so a cut fills that queue with connections of our own and accepts nothing.

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

/// Connections that may wait to be accepted: all that a controller dials at once.
const BACKLOG: i32 = 16;

#[derive(Debug)]
pub struct PartitionableListener {
    listener: TcpListener,
    addr: SocketAddr,
    fillers: Vec<Socket>,
    filler_ports: BTreeSet<u16>,
}

fn stream_socket() -> io::Result<Socket> {
    Socket::new(Domain::IPV4, Type::STREAM, None)
}

/// Listens at an address that another listener may just have left; does not block.
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

    /// From now on no new connection comes up.
    pub fn partition(&mut self) -> io::Result<()> {
        // One more than the backlog is queued; the others only wait to be.
        for _ in 0..BACKLOG + 4 {
            let socket = stream_socket()?;
            socket.set_nonblocking(true)?;
            // Does not come up at once, as the socket does not block.
            let _ = socket.connect(&self.addr.into());
            if let Some(local) = socket.local_addr()?.as_socket() {
                self.filler_ports.insert(local.port());
            }
            self.fillers.push(socket);
        }
        Ok(())
    }

    /// New connections come up again.
    pub fn heal(&mut self) {
        self.fillers.clear();
    }

    /// The next connection that is not one of our own.
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
    // Where the option can't be set the connection closes in the usual way.
    let _ = socket2::SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}
