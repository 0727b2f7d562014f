//! Client side of admission: requests slots from the home instance of a backend server.

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

/// Time without a message after which a home instance counts as unreachable.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that closing a call may take after its last message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of retries while the contacted instance is not home or is shutting down.
const MAX_HOME_RETRIES: u32 = 4;
/// Delay before the home instance is looked up again, multiplied by the number of the retry.
const HOME_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Request for a slot on one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Backend server.
    pub server: BackendServerName,
    /// Organisation that issued the request.
    pub organisation: OrganisationName,
    /// Class of the request.
    pub class: ClassName,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Estimated number of output tokens.
    pub estimated_tokens: u64,
    /// Time remaining until the response must have started; unbounded if absent.
    pub time_left: Option<Duration>,
    /// Estimated wait above which the request is to be refused; unbounded if absent.
    pub wait_bound: Option<Duration>,
    /// Whether the request may be retried.
    pub repeatable: bool,
    /// Number of this attempt, starting at 0.
    pub attempt: u32,
}

/// Reason why no slot was granted; nothing was sent to the backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitError {
    /// The contacted instance is not the home instance.
    NotHome,
    /// The queue is full, and no waiting request has lower priority; contains the retry delay.
    QueueFull(Duration),
    /// The request was displaced by one of a higher tier; contains the retry delay.
    Shed(Duration),
    /// The deadline cannot be met; contains the retry delay.
    TooLate(Duration),
    /// The backend server is out of service.
    Out,
    /// The estimated wait exceeds the bound of the request; contains the estimate.
    WaitAboveBound(Duration),
    /// The home instance is shutting down.
    Draining,
    /// The organisation has too many waiting requests; contains the retry delay.
    OrganisationLimit(Duration),
    /// The backend server is ejected because it fails or is slow.
    Ejected,
    /// The home instance cannot be reached or stopped responding.
    Unreachable,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response was received.
    Complete,
    /// The caller disconnected.
    Cancelled,
    /// The backend server failed, truncated the response or timed out.
    ServerFailed,
    /// The request was not sent to the backend server.
    NotSent,
    /// The backend server responded that it is overloaded.
    Overloaded,
}

/// Measurements of an admitted request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestStats {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens.
    pub output_tokens: u64,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub token_gap: Option<Duration>,
}

/// A granted slot on a backend server.
///
/// Dropping it reports the request as cancelled to the home instance.
#[derive(Debug)]
pub struct Permit {
    cold: bool,
    call: Option<Box<Call>>,
}

/// Open call to the home instance.
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

    /// Reports the time to the first token to the home instance, if it is known.
    ///
    /// Only the first call with a time sends a message; everything else is reported by
    /// [`finish`](Self::finish).
    pub fn report_first_token(&self, output_tokens: u64, first_token: Option<Duration>) {
        let (Some(call), Some(time)) = (&self.call, first_token) else { return };
        if call.first_token_sent.swap(true, Ordering::Relaxed) {
            return;
        }
        let progress = Progress { output_tokens, first_token_ms: millis(time).max(1) };
        call.send(RequestMessage::Progress(progress));
    }

    /// Releases the slot.
    pub fn finish(mut self, outcome: RequestOutcome, stats: RequestStats) {
        self.end(outcome, stats);
    }

    /// Waits until the connection to the home instance is lost, which does not end the request.
    pub async fn wait_for_home_loss(&mut self) {
        match &mut self.call {
            Some(call) => while let Ok(Some(_)) = call.replies.message().await {},
            None => std::future::pending().await,
        }
    }

    fn end(&mut self, outcome: RequestOutcome, stats: RequestStats) {
        let Some(call) = self.call.take() else { return };
        call.send(RequestMessage::Finish(finish_message(outcome, stats)));
        // The call stays open until the home instance has read the last message.
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
        // If the connection is lost, the home instance detects it by itself.
        let _ = self.requests.send(AdmitRequest { message: Some(message) });
    }

    async fn close(mut self) {
        let read = async { while let Ok(Some(_)) = self.replies.message().await {} };
        // A home instance that does not close the call in time is treated as lost.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, read).await;
    }
}

/// Client for the home instances; clones share the connections.
#[derive(Clone)]
pub struct AdmissionClient {
    cx: Context,
}

impl AdmissionClient {
    /// Creates a client for this instance.
    pub fn new(cx: Context) -> Self {
        Self { cx }
    }

    /// Waits for a slot on a backend server.
    ///
    /// If the home instance has changed, it is looked up again and the request is retried for a
    /// short time.
    ///
    /// # Errors
    /// Returns the reason of the refusal; the request was not sent to the backend server.
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
        let mut client = self.cx.pool.home_client(&address).map_err(|_| AdmitError::Unreachable)?;
        let (requests, rx) = mpsc::unbounded_channel();
        let enqueue = self.enqueue_message(slot_request);
        // The receiver is still in scope, so the send cannot fail.
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

    fn enqueue_message(&self, slot_request: &SlotRequest) -> Enqueue {
        let optional_millis = |time: Option<Duration>| time.map_or(0, |time| millis(time).max(1));
        Enqueue {
            request: slot_request.request.to_string(),
            backend_server: slot_request.server.to_string(),
            organisation: slot_request.organisation.to_string(),
            class: slot_request.class.to_string(),
            estimated_tokens: slot_request.estimated_tokens,
            prompt_tokens: slot_request.prompt_tokens,
            deadline_ms: optional_millis(slot_request.time_left),
            wait_bound_ms: optional_millis(slot_request.wait_bound),
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

/// Applies a timeout; every failure means that the home instance cannot be reached.
async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, Status>>,
) -> Result<T, AdmitError> {
    match tokio::time::timeout(timeout, call).await {
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

fn finish_message(outcome: RequestOutcome, stats: RequestStats) -> Finish {
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
