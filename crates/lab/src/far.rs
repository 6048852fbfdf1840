//! Runs an emulated [`FarExchange`] on a TCP socket with the real clock, in a thread of its own.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use mintstall_emulator::{FarCounters, FarExchange, FarPlan};

/// Server of a [`FarExchange`]. Its thread ends once this is dropped and the open connection has ended.
pub struct FarServer {
    far: Arc<Mutex<FarExchange>>,
    addr: SocketAddr,
}

fn lock(far: &Mutex<FarExchange>) -> MutexGuard<'_, FarExchange> {
    far.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FarServer {
    /// Starts the server. It serves one connection at a time and accepts the next one when a connection has ended.
    pub fn start(listen: SocketAddr, plan: FarPlan) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let addr = listener.local_addr()?;
        let far = Arc::new(Mutex::new(FarExchange::new(plan)));
        let shared = Arc::downgrade(&far);
        std::thread::spawn(move || {
            let start = Instant::now();
            while let (Ok((stream, _)), Some(far)) = (listener.accept(), shared.upgrade()) {
                // An error ends only this connection.
                let _ = serve(stream, &far, start);
                lock(&far).link_down();
            }
        });
        Ok(Self { far, addr })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn counters(&self) -> FarCounters {
        lock(&self.far).counters
    }

    /// Changes the plan for set-ups that arrive from now on.
    pub fn update_plan(&self, update: impl FnOnce(&mut FarPlan)) {
        update(&mut lock(&self.far).plan);
    }
}

fn serve(mut stream: TcpStream, far: &Mutex<FarExchange>, start: Instant) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = Vec::new();
    lock(far).link_up(&mut out);
    let mut buffer = vec![0; 64 << 10];
    loop {
        stream.write_all(&out)?;
        out.clear();
        let wait =
            lock(far).next_timer().map_or(Duration::from_millis(20), |at| at.saturating_sub(start.elapsed()));
        stream.set_read_timeout(Some(wait.clamp(Duration::from_micros(200), Duration::from_millis(20))))?;
        let read = stream.read(&mut buffer);
        let mut far = lock(far);
        let now = start.elapsed();
        match read {
            Ok(0) => return Ok(()),
            Ok(count) if !far.on_octets(now, &buffer[..count], &mut out) => return Ok(()),
            Ok(_) => {}
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            Err(error) => return Err(error),
        }
        far.on_timer(now, &mut out);
    }
}
