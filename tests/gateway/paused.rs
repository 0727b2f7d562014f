//! A process that was paused acts on permissions of before the pause.

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use socket2::{Domain, Socket, Type};

use crate::support::instance::InstanceSettings;
use crate::support::{Instance, StandInStore, config, server_entry};

/// Time for which a withdrawn key may still be accepted, in ms.
const REVOKE_MS: u64 = 2_000;
/// Duration of the pause: longer than a withdrawn key is accepted, shorter than the request's
/// deadline, and long enough for a lost SYN packet to be sent again.
const PAUSE: Duration = Duration::from_millis(3_000);

/// A server that completes connections only after it was released.
struct BusyServer {
    socket: Socket,
    address: SocketAddr,
    /// Connections that fill the accept queue.
    queued: Vec<TcpStream>,
}

impl BusyServer {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port is free");
        socket.listen(1).expect("the socket listens");
        let address = socket.local_addr().ok().and_then(|address| address.as_socket());
        let address = address.expect("the socket has an address");
        let mut queued = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            queued.push(stream);
        }
        Self { socket, address, queued }
    }

    /// Accepts all connections and returns the bytes that they bring.
    fn release(self) -> Arc<Mutex<Vec<u8>>> {
        let received = Arc::new(Mutex::new(Vec::new()));
        let sink = received.clone();
        drop(self.queued);
        std::thread::spawn(move || {
            while let Ok((mut socket, _)) = self.socket.accept() {
                let sink = sink.clone();
                std::thread::spawn(move || {
                    let mut buf = [0; 1_024];
                    while let Ok(count) = socket.read(&mut buf)
                        && count > 0
                    {
                        sink.lock().expect("no lock holder panicked").extend(&buf[..count]);
                    }
                });
            }
        });
        received
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_key_was_withdrawn_during_a_pause_is_not_sent() {
    let server = BusyServer::start();
    let store = StandInStore::start().await;
    store.put("config", "main", config(1, &["key"]));
    store.put("servers", "busy", server_entry(server.address));
    let cfg = InstanceSettings { store: store.address, revoke_ms: REVOKE_MS, ..Default::default() };
    let instance = Instance::start(cfg).await;
    let pending = tokio::spawn(instance.request("/booking/1", "key").send());
    tokio::time::sleep(Duration::from_millis(150)).await;

    instance.signal(Signal::STOP);
    store.put("config", "main", config(2, &["other-key"]));
    let received = server.release();
    tokio::time::sleep(PAUSE).await;
    instance.signal(Signal::CONT);

    let rsp = pending.await.expect("the task completes").expect("there is a response");
    assert_ne!(rsp.status(), 200);
    let received = received.lock().expect("no lock holder panicked").clone();
    assert!(received.is_empty(), "sent: {}", String::from_utf8_lossy(&received));
}
