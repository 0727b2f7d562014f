//! The entry's side of admission: asks the home instance of a backend server for a slot.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::{Status, Streaming};

use crate::context::Context;
use crate::names::{BackendServerName, ClassName, OrganisationName, RequestId};
use crate::peer::generated::v1::admit_reply::Message as ReplyMessage;
use crate::peer::generated::v1::admit_request::Message as RequestMessage;
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{
    AdmitReply, AdmitRequest, Enqueue, Finish, FinishKind, Progress, Refused,
};

/// Silence of a home instance after which it counts as unreachable.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the end of a call may take after its last message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a home that moved is looked up again for one request.
const MAX_HOME_RETRIES: u32 = 4;
/// Pause before a home that moved is looked up again, multiplied by the number of the try.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request for a slot on one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub server: BackendServerName,
    /// The organisation that the request runs for.
    pub organisation: OrganisationName,
    /// The class of the request.
    pub class: ClassName,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Output tokens expected.
    pub estimated_tokens: u64,
    /// Time left until the answer must have started; no bound if absent.
    pub deadline: Option<Duration>,
    /// Wait above which another backend server is preferred; none if absent.
    pub wait_bound: Option<Duration>,
    /// Whether the request may be run again.
    pub repeatable: bool,
    /// Number of this attempt, from 0.
    pub attempt: u32,
}

/// Why a slot was not given; nothing was sent to the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitError {
    /// The instance asked is not the home instance.
    NotHome,
    /// The queue is full and holds nothing lower.
    QueueFull(Duration),
    /// A request of a higher tier took the place; the time after which to try again.
    Shed(Duration),
    /// The deadline can't be met.
    TooLate(Duration),
    /// The backend server takes no new work.
    Out,
    /// The estimated wait is above the bound.
    WaitAboveBound(Duration),
    /// The home instance is shutting down.
    Draining,
    /// The organisation has too many requests waiting.
    OrganisationLimit(Duration),
    /// The backend server is ejected as failing or slow.
    Ejected,
    /// The home instance can't be reached or went silent.
    Unreachable,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer was received.
    Complete,
    /// The caller went away.
    Cancelled,
    /// The backend server failed, cut the answer or stayed silent.
    ServerFailed,
    /// The request was never sent.
    NotSent,
    /// The backend server answered that it is over its limit.
    Overloaded,
}

/// Figures of an admitted request at its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestStats {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_gap: Option<Duration>,
}

/// A slot on a backend server; dropping it tells the home instance that the request was cancelled.
#[derive(Debug)]
pub struct Permit {
    cold: bool,
    call: Option<Box<Call>>,
}

/// The open call to the home instance.
#[derive(Debug)]
struct Call {
    requests: mpsc::UnboundedSender<AdmitRequest>,
    replies: Streaming<AdmitReply>,
    first_token_sent: AtomicBool,
}

impl Permit {
    /// Returns whether the backend server is in cold start.
    pub fn is_cold(&self) -> bool {
        self.cold
    }

    /// Tells the home instance how far the answer is.
    ///
    /// Only the first message with a time to the first token is sent; the rest is known at the end.
    pub fn progress(&self, output_tokens: u64, first_token: Option<Duration>) {
        let (Some(call), Some(time)) = (&self.call, first_token) else { return };
        if call.first_token_sent.swap(true, Ordering::Relaxed) {
            return;
        }
        let progress = Progress { output_tokens, first_token_ms: millis(time).max(1) };
        call.send(RequestMessage::Progress(progress));
    }

    /// Gives the slot back.
    pub fn finish(mut self, outcome: RequestOutcome, stats: RequestStats) {
        self.end(outcome, stats);
    }

    /// Waits until the home instance is lost, which doesn't end the request.
    pub async fn home_lost(&mut self) {
        match &mut self.call {
            Some(call) => while let Ok(Some(_)) = call.replies.message().await {},
            None => std::future::pending().await,
        }
    }

    fn end(&mut self, outcome: RequestOutcome, stats: RequestStats) {
        let Some(call) = self.call.take() else { return };
        call.send(RequestMessage::Finish(finish(outcome, stats)));
        // The call stays open until the home has read the last message.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(call.close());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(RequestOutcome::Cancelled, RequestStats::default());
    }
}

impl Call {
    fn send(&self, message: RequestMessage) {
        // If the home instance is lost there is nobody to tell.
        let _ = self.requests.send(AdmitRequest { message: Some(message) });
    }

    async fn close(mut self) {
        let read = async { while let Ok(Some(_)) = self.replies.message().await {} };
        // After the bound the connection is of no use any more.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, read).await;
    }
}

/// Asks home instances for slots; clones share the connections.
#[derive(Clone)]
pub struct AdmissionClient {
    cx: Context,
}

impl AdmissionClient {
    /// Makes an admitter for this instance.
    pub fn new(cx: Context) -> Self {
        Self { cx }
    }

    /// Waits for a slot on a backend server.
    ///
    /// A home instance that has changed is looked up again for a short time.
    ///
    /// # Errors
    /// Says why there is none; the request was not sent to the backend server.
    pub async fn admit(&self, slot_request: SlotRequest) -> Result<Permit, AdmitError> {
        let mut retries = 0;
        loop {
            let outcome = self.try_admit(&slot_request).await;
            let moved = matches!(outcome, Err(AdmitError::NotHome | AdmitError::Draining));
            if !moved || retries >= MAX_HOME_RETRIES {
                return outcome;
            }
            retries += 1;
            tokio::time::sleep(HOME_RETRY_DELAY * retries).await;
        }
    }

    async fn try_admit(&self, slot_request: &SlotRequest) -> Result<Permit, AdmitError> {
        let address = self.home_address(&slot_request.server)?;
        let mut client = self.cx.pool.home(&address).map_err(|_| AdmitError::Unreachable)?;
        let (requests, rx) = mpsc::unbounded_channel();
        let enqueue = self.enqueue(slot_request);
        // The receiver is held here, so the send can't fail.
        let _ = requests.send(AdmitRequest { message: Some(RequestMessage::Enqueue(enqueue)) });
        let call = client.admit(UnboundedReceiverStream::new(rx));
        let replies = with_timeout(REPLY_TIMEOUT, call).await?.into_inner();
        let call = Call { requests, replies, first_token_sent: AtomicBool::new(false) };
        wait_for_grant(call).await
    }

    fn home_address(&self, server: &BackendServerName) -> Result<String, AdmitError> {
        let in_force = self.cx.in_force.borrow().clone();
        let server = in_force.config.backend_servers.get(server).ok_or(AdmitError::Out)?;
        if !in_force.takes_work(server) {
            return Err(AdmitError::Out);
        }
        let members = self.cx.members.borrow().clone();
        let home = members.home(&server.name, &server.data_centre);
        home.map(|home| home.peer_address.clone()).ok_or(AdmitError::Unreachable)
    }

    fn enqueue(&self, slot_request: &SlotRequest) -> Enqueue {
        let bound = |bound: Option<Duration>| bound.map_or(0, |bound| millis(bound).max(1));
        Enqueue {
            request: slot_request.request.to_string(),
            backend_server: slot_request.server.to_string(),
            organisation: slot_request.organisation.to_string(),
            class: slot_request.class.to_string(),
            estimated_tokens: slot_request.estimated_tokens,
            prompt_tokens: slot_request.prompt_tokens,
            deadline_ms: bound(slot_request.deadline),
            wait_bound_ms: bound(slot_request.wait_bound),
            entry: self.cx.options.instance.to_string(),
            hlc: self.cx.clock.now().0,
            repeatable: slot_request.repeatable,
            attempt: slot_request.attempt,
        }
    }
}

/// Reads replies until the request is granted or refused.
async fn wait_for_grant(mut call: Call) -> Result<Permit, AdmitError> {
    loop {
        let reply = with_timeout(REPLY_TIMEOUT, call.replies.message()).await?;
        match reply.and_then(|reply| reply.message) {
            Some(ReplyMessage::Granted(granted)) => {
                return Ok(Permit { cold: granted.cold, call: Some(Box::new(call)) });
            }
            Some(ReplyMessage::Refused(refused)) => return Err(refusal(&refused)),
            Some(ReplyMessage::Queued(_)) => {}
            None => return Err(AdmitError::Unreachable),
        }
    }
}

/// Bounds the time of a call; whatever goes wrong means that the home can't be reached.
async fn with_timeout<T>(
    bound: Duration,
    call: impl Future<Output = Result<T, Status>>,
) -> Result<T, AdmitError> {
    match tokio::time::timeout(bound, call).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) | Err(_) => Err(AdmitError::Unreachable),
    }
}

fn refusal(refused: &Refused) -> AdmitError {
    let after = Duration::from_millis(refused.retry_after_ms.into());
    match refused.reason() {
        Reason::NotHome => AdmitError::NotHome,
        Reason::QueueFull => AdmitError::QueueFull(after),
        Reason::Shed => AdmitError::Shed(after),
        Reason::TooLate => AdmitError::TooLate(after),
        Reason::Out => AdmitError::Out,
        Reason::WaitAboveBound => {
            AdmitError::WaitAboveBound(Duration::from_millis(refused.wait_ms.into()))
        }
        Reason::Draining => AdmitError::Draining,
        Reason::OrganisationLimit => AdmitError::OrganisationLimit(after),
        Reason::Ejected => AdmitError::Ejected,
        Reason::Unspecified => AdmitError::Unreachable,
    }
}

fn finish(outcome: RequestOutcome, stats: RequestStats) -> Finish {
    let kind = match outcome {
        RequestOutcome::Complete => FinishKind::Complete,
        RequestOutcome::Cancelled => FinishKind::Cancelled,
        RequestOutcome::ServerFailed => FinishKind::ServerFailed,
        RequestOutcome::NotSent => FinishKind::NotSent,
        RequestOutcome::Overloaded => FinishKind::Overloaded,
    };
    Finish {
        prompt_tokens: stats.prompt_tokens,
        output_tokens: stats.output_tokens,
        kind: kind.into(),
        first_token_ms: stats.first_token.map_or(0, |time| millis(time).max(1)),
        token_gap_us: stats.token_gap.map_or(0, |gap| gap.as_micros().max(1) as u32),
    }
}

fn millis(duration: Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
