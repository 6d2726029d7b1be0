//! A TCP relay that simulates a network partition.

use async_std::io;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Relays connections to one address while it is not cut.
#[derive(Clone)]
pub(crate) struct Relay {
    addr: SocketAddr,
    target: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay {
            addr: listener.local_addr().unwrap(),
            target,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        task::spawn(relay.clone().accept(listener));
        relay
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes all connections, and closes new ones at once.
    pub(crate) fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub(crate) fn restore(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            if self.is_cut.load(Ordering::SeqCst) {
                continue;
            }
            let Ok(server) = TcpStream::connect(self.target).await else { continue };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            self.open.lock().unwrap().extend([client.clone(), server.clone()]);
            task::spawn(copy(client.clone(), server.clone()));
            task::spawn(copy(server, client));
        }
    }
}

async fn copy(from: TcpStream, to: TcpStream) {
    let _ = io::copy(&from, &to).await;
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
