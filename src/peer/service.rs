//! The peer service: gRPC calls of other instances, which it passes to the tasks.

use tonic::service::Interceptor;
use tonic::{Request, Response, Status};

use super::generated::v1::peer_server::{Peer, PeerServer};
use super::generated::v1::{
    BeatReply, BeatRequest, FetchConfigReply, FetchConfigRequest, KeepUsageReply, KeepUsageRequest,
    SpreadReply, SpreadRequest, TimelineReply, TimelineRequest,
};
use super::membership::Membership;
use super::pool::{MAX_MESSAGE_BYTES, SECRET_HEADER};
use super::timeline;
use crate::config::ConfigHandle;
use crate::context::Context;
use crate::options::Secret;
use crate::usage::Ledger;

/// Rejects calls that don't carry the fleet secret.
#[derive(Clone)]
pub struct SecretVerifier {
    secret: Secret,
}

impl SecretVerifier {
    /// Creates the check for a secret.
    pub fn new(secret: Secret) -> Self {
        Self { secret }
    }
}

impl Interceptor for SecretVerifier {
    fn call(&mut self, req: Request<()>) -> Result<Request<()>, Status> {
        let given = req.metadata().get(SECRET_HEADER).and_then(|value| value.to_str().ok());
        match given {
            Some(given) if self.secret.matches(given) => Ok(req),
            Some(_) => Err(Status::unauthenticated("the fleet secret is wrong")),
            None => Err(Status::unauthenticated("the fleet secret is missing")),
        }
    }
}

/// Implements the calls of the peer service.
pub struct PeerService {
    /// Shared state of this instance.
    pub cx: Context,
    /// Handle to the membership task.
    pub membership: Membership,
    /// Handle to the configuration task.
    pub config: ConfigHandle,
    /// Handle to the usage task.
    pub ledger: Ledger,
}

impl PeerService {
    /// Returns the gRPC server of this service, with its limit on message sizes.
    pub fn into_server(self) -> PeerServer<Self> {
        PeerServer::new(self)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn beat(&self, req: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        self.membership.handle_beat(req.into_inner()).await.map(Response::new)
    }

    async fn fetch_config(
        &self,
        req: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        let req = req.into_inner();
        let want_members = req.want_members;
        let mut reply = self.config.handle_fetch(req).await;
        if want_members && let Some(list) = self.membership.current_list().await {
            reply.members_revision = list.revision;
            reply.members = serde_json::to_vec(&list)
                .map_err(|error| Status::internal(format!("the instance list: {error}")))?;
        }
        Ok(Response::new(reply))
    }

    async fn spread(&self, req: Request<SpreadRequest>) -> Result<Response<SpreadReply>, Status> {
        let req = req.into_inner();
        self.cx.clock.observe(crate::clock::Hlc(req.hlc));
        Ok(Response::new(self.config.handle_spread(req).await))
    }

    async fn keep_usage(
        &self,
        req: Request<KeepUsageRequest>,
    ) -> Result<Response<KeepUsageReply>, Status> {
        match self.ledger.store_replica(req.into_inner()).await {
            Ok(()) => Ok(Response::new(KeepUsageReply {})),
            Err(full) => Err(Status::resource_exhausted(full.to_string())),
        }
    }

    async fn timeline(
        &self,
        req: Request<TimelineRequest>,
    ) -> Result<Response<TimelineReply>, Status> {
        Ok(Response::new(timeline::local_reply(&self.cx, &req.into_inner())))
    }
}
