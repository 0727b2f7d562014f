//! A TCP relay that can stop passing bytes, close its connections or record what it passes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::lock;

/// Size of one read in bytes.
const CHUNK: usize = 16 << 10;
/// Bytes from callers that a relay keeps; more are counted only.
const RECORD_LIMIT: usize = 64 << 20;

/// Which way bytes travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the one who connected to the target.
    ToTarget,
    /// From the target to the one who connected.
    ToCaller,
    /// Both ways.
    Both,
}

/// What the relay does with its connections now.
#[derive(Debug, Clone, Copy, Default)]
struct Gate {
    frozen_to_target: bool,
    frozen_to_caller: bool,
    /// Connections with a number below this one pass nothing any more.
    silent_below: u64,
    refusing: bool,
    /// Time for which bytes are held back before they are passed on.
    delay: Duration,
}

impl Gate {
    fn passes(self, direction: Direction, connection: u64) -> bool {
        let frozen = match direction {
            Direction::ToTarget => self.frozen_to_target,
            Direction::ToCaller => self.frozen_to_caller,
            Direction::Both => self.frozen_to_target || self.frozen_to_caller,
        };
        !frozen && connection >= self.silent_below
    }
}

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    /// Open connections by number; removing one resets it.
    open: Mutex<HashMap<u64, Open>>,
    recorded: Mutex<Vec<u8>>,
    accepted: Mutex<u64>,
    gate: watch::Sender<Gate>,
}

/// An open connection.
struct Open {
    /// The port that the target sees.
    port: u16,
    _reset_on_drop: oneshot::Sender<()>,
}

/// A relay from a loopback port to a target; dropping it closes all its connections.
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port.
    ///
    /// # Errors
    /// Fails if no port can be bound.
    pub async fn start(target: SocketAddr) -> eyre::Result<Self> {
        Self::start_on(crate::ANY_PORT, target).await
    }

    /// Starts a relay on an address.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub async fn start_on(listen: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        *lock(&shared.target) = Some(target);
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared, accepting })
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops passing bytes in a direction, on open and new connections, without closing any.
    pub fn freeze(&self, direction: Direction) {
        self.set_frozen(direction, true);
    }

    /// Passes bytes in a direction again, first those held back.
    pub fn thaw(&self, direction: Direction) {
        self.set_frozen(direction, false);
    }

    /// Stops passing bytes on the connections open now, for good; new connections work.
    pub fn silence_open(&self) {
        let next = *lock(&self.shared.accepted);
        self.shared.gate.send_modify(|gate| gate.silent_below = next);
    }

    /// Resets all open connections; new ones work.
    pub fn cut(&self) {
        lock(&self.shared.open).clear();
    }

    /// Resets the connection that the target sees from this port.
    pub fn cut_port(&self, port: u16) {
        lock(&self.shared.open).retain(|_, open| open.port != port);
    }

    /// Resets new connections at once, or accepts them again.
    pub fn refuse(&self, refusing: bool) {
        self.shared.gate.send_modify(|gate| gate.refusing = refusing);
    }

    /// Holds bytes back for a time before they are passed on, both ways.
    pub fn delay(&self, delay: Duration) {
        self.shared.gate.send_modify(|gate| gate.delay = delay);
    }

    /// Returns the connections accepted so far.
    pub fn accepted(&self) -> u64 {
        *lock(&self.shared.accepted)
    }

    /// Returns every byte that callers sent, in order of arrival.
    pub fn recorded(&self) -> Vec<u8> {
        lock(&self.shared.recorded).clone()
    }

    fn set_frozen(&self, direction: Direction, frozen: bool) {
        self.shared.gate.send_modify(|gate| {
            if direction != Direction::ToCaller {
                gate.frozen_to_target = frozen;
            }
            if direction != Direction::ToTarget {
                gate.frozen_to_caller = frozen;
            }
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut();
    }
}

/// Accepts connections until the relay is dropped.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((caller, _)) = listener.accept().await {
        let _ = caller.set_nodelay(true);
        if shared.gate.borrow().refusing {
            continue;
        }
        let number = next_number(&shared);
        let Some(target) = *lock(&shared.target) else { continue };
        let Ok(stream) = TcpStream::connect(target).await else { continue };
        let _ = stream.set_nodelay(true);
        let port = stream.local_addr().map_or(0, |address| address.port());
        let (tx, rx) = oneshot::channel();
        lock(&shared.open).insert(number, Open { port, _reset_on_drop: tx });
        tokio::spawn(pass_both(caller, stream, number, Arc::clone(&shared), rx));
    }
}

fn next_number(shared: &Shared) -> u64 {
    let mut accepted = lock(&shared.accepted);
    let number = *accepted;
    *accepted += 1;
    number
}

/// Copies both ways until both ends are closed, one fails or the connection is reset.
async fn pass_both(
    mut caller: TcpStream,
    mut target: TcpStream,
    number: u64,
    shared: Arc<Shared>,
    reset: oneshot::Receiver<()>,
) {
    let (caller_read, caller_write) = caller.split();
    let (target_read, target_write) = target.split();
    let to_target = pass(caller_read, target_write, Direction::ToTarget, number, &shared);
    let to_caller = pass(target_read, caller_write, Direction::ToCaller, number, &shared);
    let was_reset = tokio::select! {
        _ = reset => true,
        _ = async { tokio::try_join!(to_target, to_caller) } => false,
    };
    if was_reset {
        let _ = caller.set_zero_linger();
    }
    lock(&shared.open).remove(&number);
}

/// Copies one way; a closed end is passed on like the bytes before it.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    number: u64,
    shared: &Shared,
) -> std::io::Result<()> {
    let mut gate = shared.gate.subscribe();
    let mut buf = vec![0; CHUNK];
    loop {
        let length = from.read(&mut buf).await?;
        let open = gate.wait_for(|gate| gate.passes(direction, number)).await.is_ok();
        if !open {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let delay = gate.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if length == 0 {
            return to.shutdown().await;
        }
        if direction == Direction::ToTarget {
            record(shared, &buf[..length]);
        }
        to.write_all(&buf[..length]).await?;
    }
}

fn record(shared: &Shared, bytes: &[u8]) {
    let mut recorded = lock(&shared.recorded);
    assert!(recorded.len() + bytes.len() <= RECORD_LIMIT, "a stand-in received too much to record");
    recorded.extend_from_slice(bytes);
}
