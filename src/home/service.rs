//! gRPC service through which other instances request slots.

use std::pin::Pin;
use std::time::Duration;

use futures::Stream;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::admission::{Arrival, Decision};
use super::client::{RequestOutcome, RequestStats};
use super::homes::HomeQueues;
use super::task::{Message, QueueHandle, Requester};
use crate::peer::generated::v1::admit_reply::Message as ReplyMessage;
use crate::peer::generated::v1::admit_request::Message as RequestMessage;
use crate::peer::generated::v1::home_server::{Home, HomeServer};
use crate::peer::generated::v1::refused::Reason;
use crate::peer::generated::v1::{
    AdmitReply, AdmitRequest, Enqueue, Finish, FinishKind, Granted, InFlightReply, InFlightRequest,
    Progress, Queued, Refused, ReportUseReply, ReportUseRequest,
};
use crate::peer::pool::MAX_MESSAGE_BYTES;

/// Time within which the first message of a call must arrive.
const ENQUEUE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the messages for a queued request, shorter than the reply timeout of the client.
pub const QUEUED_PERIOD: Duration = Duration::from_secs(1);
/// Replies that may be buffered on one call.
const REPLY_BUFFER: usize = 4;

/// Creates the service.
pub fn service(queues: HomeQueues) -> HomeServer<HomeService> {
    HomeServer::new(HomeService { queues })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

/// Service that admits requests to the backend servers that this instance is home of.
#[derive(Clone)]
pub struct HomeService {
    queues: HomeQueues,
}

type ReplySender = mpsc::Sender<Result<AdmitReply, Status>>;

#[tonic::async_trait]
impl Home for HomeService {
    type AdmitStream = Pin<Box<dyn Stream<Item = Result<AdmitReply, Status>> + Send>>;

    async fn admit(
        &self,
        req: Request<Streaming<AdmitRequest>>,
    ) -> Result<Response<Self::AdmitStream>, Status> {
        let (tx, rx) = mpsc::channel(REPLY_BUFFER);
        tokio::spawn(serve_call(self.queues.clone(), req.into_inner(), tx));
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }

    async fn in_flight(
        &self,
        req: Request<InFlightRequest>,
    ) -> Result<Response<InFlightReply>, Status> {
        let server = req.into_inner().backend_server;
        Ok(Response::new(self.queues.in_flight(&server).await))
    }

    async fn report_use(
        &self,
        req: Request<ReportUseRequest>,
    ) -> Result<Response<ReportUseReply>, Status> {
        Ok(Response::new(self.queues.limits().allocate_all(req.get_ref())))
    }
}

/// Serves one call from its first message to the end of the request.
async fn serve_call(queues: HomeQueues, mut requests: Streaming<AdmitRequest>, tx: ReplySender) {
    let first = tokio::time::timeout(ENQUEUE_TIMEOUT, requests.message()).await;
    let Ok(Ok(Some(AdmitRequest { message: Some(RequestMessage::Enqueue(enqueue)) }))) = first
    else {
        // The entry instance disconnected or violated the protocol; in both cases the call fails.
        let _ = tx.send(Err(Status::invalid_argument("the first message must enqueue"))).await;
        return;
    };
    let Some(queue) = queues.queue(&enqueue.backend_server) else {
        let _ = tx.send(Ok(refused(Reason::NotHome, Duration::ZERO))).await;
        return;
    };
    let Some((id, decision)) = send_enqueue(&queue, enqueue).await else {
        let _ = tx.send(Ok(refused(Reason::NotHome, Duration::ZERO))).await;
        return;
    };
    let Some(decision) = wait_for_decision(&queue, id, decision, &mut requests, &tx).await else {
        return;
    };
    match decision {
        Decision::Refused { reason, wait, .. } => {
            let _ = tx.send(Ok(refused(reason, wait))).await;
        }
        Decision::Granted { id, cold } => {
            let granted = Granted { permit: id, cold, ..Granted::default() };
            let reply = AdmitReply { message: Some(ReplyMessage::Granted(granted)) };
            // If the entry instance disconnected, its message stream ends, which `forward_messages`
            // detects.
            let _ = tx.send(Ok(reply)).await;
            forward_messages(&queue, id, &mut requests).await;
        }
    }
}

/// Queues the request; returns its identifier and the receiver of the decision.
async fn send_enqueue(
    queue: &QueueHandle,
    enqueue: Enqueue,
) -> Option<(u64, oneshot::Receiver<Decision>)> {
    let (id_tx, id_rx) = oneshot::channel();
    let (decision_tx, decision) = oneshot::channel();
    let requester =
        Requester { request: enqueue.request.as_str().into(), entry: enqueue.entry.clone() };
    let message = Message::Enqueue { requester, arrival: arrival(&enqueue), id_tx, decision_tx };
    queue.tx.send(message).await.ok()?;
    Some((id_rx.await.ok()?, decision))
}

/// Waits for the decision, and periodically reports that the request is still queued.
///
/// Returns nothing if the entry instance cancels the request or disconnects.
async fn wait_for_decision(
    queue: &QueueHandle,
    id: u64,
    mut decision: oneshot::Receiver<Decision>,
    requests: &mut Streaming<AdmitRequest>,
    tx: &ReplySender,
) -> Option<Decision> {
    let mut ticks = tokio::time::interval(QUEUED_PERIOD);
    ticks.reset();
    loop {
        tokio::select! {
            decision = &mut decision => {
                let retired =
                    Decision::Refused { id, reason: Reason::NotHome, wait: Duration::ZERO };
                return Some(decision.unwrap_or(retired));
            }
            _ = requests.message() => {
                // Any message, or the end of the stream, before the decision means cancellation.
                let _ = queue.tx.send(Message::EntryLost(id)).await;
                return None;
            }
            _ = ticks.tick() => {
                let load = queue.load.borrow().clone();
                let queued = Queued { position: load.waiting, wait_ms: load.wait_ms };
                let reply = AdmitReply { message: Some(ReplyMessage::Queued(queued)) };
                // If the channel is full, the entry instance has unread messages and needs no
                // other one.
                let _ = tx.try_send(Ok(reply));
            }
        }
    }
}

/// Forwards the messages of a running request to the queue until the request ends.
async fn forward_messages(queue: &QueueHandle, id: u64, requests: &mut Streaming<AdmitRequest>) {
    loop {
        let message = match requests.message().await {
            Ok(Some(AdmitRequest { message: Some(RequestMessage::Progress(progress)) })) => {
                Message::Progress(id, progress_stats(&progress))
            }
            Ok(Some(AdmitRequest { message: Some(RequestMessage::Finish(finish)) })) => {
                let message = Message::Finish(id, outcome(&finish), finish_stats(&finish));
                // If the queue task has ended, its slots no longer exist.
                let _ = queue.tx.send(message).await;
                return;
            }
            _ => {
                let _ = queue.tx.send(Message::EntryLost(id)).await;
                return;
            }
        };
        if queue.tx.send(message).await.is_err() {
            return;
        }
    }
}

fn arrival(enqueue: &Enqueue) -> Arrival {
    let nonzero_millis = |ms: u32| (ms > 0).then(|| Duration::from_millis(ms.into()));
    Arrival {
        id: 0,
        class: enqueue.class.as_str().into(),
        organisation: enqueue.organisation.as_str().into(),
        prompt_tokens: enqueue.prompt_tokens,
        estimated_tokens: enqueue.estimated_tokens,
        time_left: nonzero_millis(enqueue.deadline_ms),
        wait_bound: nonzero_millis(enqueue.wait_bound_ms),
        repeatable: enqueue.repeatable,
    }
}

fn refused(reason: Reason, wait: Duration) -> AdmitReply {
    let ms = wait.as_millis().min(u128::from(u32::MAX)) as u32;
    let refused = Refused { reason: reason.into(), retry_after_ms: ms, wait_ms: ms };
    AdmitReply { message: Some(ReplyMessage::Refused(refused)) }
}

fn outcome(finish: &Finish) -> RequestOutcome {
    match finish.kind() {
        FinishKind::Complete => RequestOutcome::Complete,
        FinishKind::Cancelled | FinishKind::Unspecified => RequestOutcome::Cancelled,
        FinishKind::ServerFailed => RequestOutcome::ServerFailed,
        FinishKind::NotSent => RequestOutcome::NotSent,
        FinishKind::Overloaded => RequestOutcome::Overloaded,
    }
}

fn finish_stats(finish: &Finish) -> RequestStats {
    RequestStats {
        prompt_tokens: finish.prompt_tokens,
        output_tokens: finish.output_tokens,
        first_token: nonzero(Duration::from_millis(finish.first_token_ms.into())),
        token_gap: nonzero(Duration::from_micros(finish.token_gap_us.into())),
    }
}

fn progress_stats(progress: &Progress) -> RequestStats {
    RequestStats {
        output_tokens: progress.output_tokens,
        first_token: nonzero(Duration::from_millis(progress.first_token_ms.into())),
        ..RequestStats::default()
    }
}

fn nonzero(duration: Duration) -> Option<Duration> {
    (!duration.is_zero()).then_some(duration)
}
