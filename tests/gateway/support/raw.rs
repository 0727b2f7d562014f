//! Stand-in for a backend server that writes bytes of a test's choice to its connections.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::server_entry;

/// A listener whose connections are handled by a test.
pub struct RawServer {
    /// Address that accepts connections.
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
}

/// A connection of an instance to a [`RawServer`].
pub struct RawConnection {
    socket: TcpStream,
    buf: Vec<u8>,
    open: Arc<AtomicUsize>,
}

/// A request that a [`RawServer`] received.
pub struct RawRequest {
    /// Attempt ID, if there is one.
    pub attempt: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

impl RawServer {
    /// Starts a server that handles each connection with `handler`.
    pub async fn start<F, R>(handler: F) -> Self
    where
        F: Fn(RawConnection) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let open = Arc::new(AtomicUsize::new(0));
        let counter = open.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                let connection = RawConnection { socket, buf: Vec::new(), open: counter.clone() };
                tokio::spawn(handler(connection));
            }
        });
        Self { address, open }
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self) -> Value {
        server_entry(self.address)
    }

    /// Returns the number of connections that neither side has closed.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl RawConnection {
    /// Reads a request of a caller, and returns its attempt ID; `None` if the connection was closed.
    pub async fn read_request(&mut self) -> Option<String> {
        self.read_any_request().await?.attempt
    }

    /// Reads a request without a body or with a length; `None` if the connection was closed.
    pub async fn read_any_request(&mut self) -> Option<RawRequest> {
        let head_end = loop {
            let end = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            match end {
                Some(at) => break at + 4,
                None => self.read_more().await?,
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_end]).to_ascii_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim().to_owned())
        };
        let length = field("content-length:").map_or(0, |text| text.parse().unwrap_or(0));
        while self.buf.len() < head_end + length {
            self.read_more().await?;
        }
        let attempt = field("x-laburnumvalve-attempt-id:");
        let body = self.buf.drain(..head_end + length).skip(head_end).collect();
        Some(RawRequest { attempt, body })
    }

    /// Reads the head of a request but not its body, and returns the attempt ID; `None` if the
    /// connection was closed.
    pub async fn read_request_head(&mut self) -> Option<String> {
        while !self.buf.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            self.read_more().await?;
        }
        let head = String::from_utf8_lossy(&self.buf).to_ascii_lowercase();
        let line = head.lines().find_map(|line| line.strip_prefix("x-laburnumvalve-attempt-id:"));
        line.map(|value| value.trim().to_owned())
    }

    /// Writes bytes although the other side may still be sending.
    pub async fn write_unread(&mut self, bytes: &[u8]) {
        // A connection that was closed meanwhile is a part of the tests.
        let _ = self.socket.write_all(bytes).await;
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.socket.set_zero_linger().expect("the socket is open");
    }

    async fn read_more(&mut self) -> Option<()> {
        let read = self.socket.read_buf(&mut self.buf).await;
        read.is_ok_and(|count| count > 0).then_some(())
    }

    /// Writes bytes; `false` if the connection was closed.
    ///
    /// Notices the close also while the other side doesn't read.
    pub async fn write(&mut self, bytes: &[u8]) -> bool {
        let (mut rx, mut tx) = self.socket.split();
        let mut unexpected = [0; 1];
        tokio::select! {
            written = tx.write_all(bytes) => written.is_ok(),
            _ = rx.read(&mut unexpected) => false,
        }
    }
}

impl Drop for RawConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}
