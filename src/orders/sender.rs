//! Issues orders under a lease: stores the intent, sends it with a permit, stores the outcome.

use std::collections::BTreeSet;

use super::client::{OrderClient, SendOutcome};
use super::intent::{Action, Intent, OrderOutcome};
use crate::config::BackendServer;
use crate::context::Context;
use crate::event::{EventKind, EventSubject};
use crate::lease::{Holder, LeaseWatch, LiveLease};
use crate::metrics::Counter;
use crate::names::{BackendServerName, DataCentreName};
use crate::platform::{Object, ObjectKind, PlatformError};

/// Reason why an order was not sent or its outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderError {
    /// The lease is not held, or not for the duration of the request timeout.
    NoLease,
    /// The backend server ignores fencing tokens and a former holder may still send it orders.
    FormerHolderActive,
    /// The object API failed, so the order was not sent.
    Platform(PlatformError),
    /// The order was sent but its outcome is unknown. Issuing it again retries the same order.
    Unknown(String),
}

impl std::fmt::Display for OrderError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoLease => {
                f.write_str("the lease is not held, or ends before the order would time out")
            }
            Self::FormerHolderActive => {
                f.write_str("a former holder of the lease may still be active")
            }
            Self::Platform(error) => error.fmt(f),
            Self::Unknown(reason) => write!(f, "the outcome of the order is unknown: {reason}"),
        }
    }
}

impl std::error::Error for OrderError {}

/// Issues the orders of one data centre while this instance holds the lease.
pub struct OrderSender {
    cx: Context,
    this_holder: Holder,
    lease: LeaseWatch,
    client: OrderClient,
}

impl OrderSender {
    /// Creates a sender that acts under a lease.
    ///
    /// # Errors
    /// Fails if the HTTP client can't be built.
    pub fn new(cx: Context, lease: LeaseWatch) -> eyre::Result<Self> {
        let client = OrderClient::new(&cx.options.orders_url)?;
        let this_holder =
            Holder { instance: cx.options.instance.clone(), incarnation: cx.incarnation };
        Ok(Self { cx, this_holder, lease, client })
    }

    /// Returns whether this instance currently holds the lease.
    pub fn holds_lease(&self) -> bool {
        self.lease.live().is_some()
    }

    /// Returns the running and starting backend servers of a data centre, or `None` if unknown.
    pub async fn active_servers(
        &self,
        data_centre: &DataCentreName,
    ) -> Option<BTreeSet<BackendServerName>> {
        self.client.active_servers(data_centre).await
    }

    /// Returns the backend servers whose latest order stopped them, or `None` if unknown.
    pub async fn stopped_by_order(&self) -> Option<BTreeSet<BackendServerName>> {
        self.count_platform_call();
        let (orders, _) = self.cx.objects.list::<Intent>(ObjectKind::Orders).await.ok()?;
        let stopped = orders.into_iter().map(|object| object.spec).filter(|intent| {
            intent.action == Action::Stop && intent.outcome == Some(OrderOutcome::Done)
        });
        Some(stopped.map(|intent| intent.server).collect())
    }

    /// Issues an order to a backend server and returns its outcome.
    ///
    /// If the outcome of an earlier order to the server is unknown, that order is retried first.
    ///
    /// # Errors
    /// Fails if the order was not sent or its outcome is unknown; issuing it again is safe.
    pub async fn issue(
        &self,
        server: &BackendServer,
        action: Action,
    ) -> Result<OrderOutcome, OrderError> {
        let lease = self.lease.live().ok_or(OrderError::NoLease)?;
        check_former_holders(server, &lease)?;
        let stored = self.read(server).await?;
        let (version, intent) = match stored {
            Some(Object { version, spec, .. }) if spec.outcome.is_none() => {
                let is_same_action = spec.action == action;
                let outcome = self.send_intent(server, &lease, version, spec).await?;
                if is_same_action {
                    return Ok(outcome);
                }
                let version = self.read(server).await?.map(|object| object.version);
                (version, self.new_intent(server, action, lease.epoch()))
            }
            stored => {
                let version = stored.map(|object| object.version);
                (version, self.new_intent(server, action, lease.epoch()))
            }
        };
        let version = self.store(version.as_deref(), &intent).await?;
        self.send_intent(server, &lease, version, intent).await
    }

    /// Sends a stored intent and stores its outcome.
    async fn send_intent(
        &self,
        server: &BackendServer,
        lease: &LiveLease,
        version: String,
        intent: Intent,
    ) -> Result<OrderOutcome, OrderError> {
        let lease = self.lease.live().filter(|current| current.epoch() == lease.epoch());
        let lease = lease.ok_or(OrderError::NoLease)?;
        check_former_holders(server, &lease)?;
        let send_outcome = {
            let permit = lease.permit().ok_or(OrderError::NoLease)?;
            self.client.send(&permit, self.this_holder.instance.as_str(), &intent).await
        };
        let outcome = match send_outcome {
            SendOutcome::Done => OrderOutcome::Done,
            SendOutcome::Fenced => OrderOutcome::Fenced,
            SendOutcome::InsufficientLeaseTime => return Err(OrderError::NoLease),
            SendOutcome::Unknown(reason) => return Err(OrderError::Unknown(reason)),
        };
        self.record_outcome(&intent, &outcome);
        let completed = Intent { outcome: Some(outcome.clone()), ..intent };
        if let Err(error) = self.store(Some(&version), &completed).await {
            // The intent stays pending; its retry has the same identifier and no further effect.
            tracing::warn!(
                %error,
                server = %server.name,
                "failed to store an order outcome; the order is sent again before the next one"
            );
        }
        Ok(outcome)
    }

    fn new_intent(&self, server: &BackendServer, action: Action, epoch: u64) -> Intent {
        Intent {
            id: format!("{}-{epoch}-{}", server.name, uuid::Uuid::new_v4().simple()),
            data_centre: server.data_centre.clone(),
            server: server.name.clone(),
            action,
            epoch,
            holder: self.this_holder.clone(),
            outcome: None,
        }
    }

    async fn read(&self, server: &BackendServer) -> Result<Option<Object<Intent>>, OrderError> {
        self.count_platform_call();
        match self.cx.objects.get(ObjectKind::Orders, server.name.as_str()).await {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::NotFound) => Ok(None),
            Err(error) => Err(OrderError::Platform(error)),
        }
    }

    /// Writes an intent conditionally on the stored version; returns the new version.
    async fn store(&self, version: Option<&str>, intent: &Intent) -> Result<String, OrderError> {
        self.count_platform_call();
        let (objects, name) = (&self.cx.objects, intent.server.as_str());
        let result = match version {
            Some(version) => objects.update(ObjectKind::Orders, name, version, intent).await,
            None => objects.create(ObjectKind::Orders, name, intent).await,
        };
        match result {
            Ok(version) => Ok(version),
            Err(PlatformError::Unknown(reason)) => self.read_back(intent, reason).await,
            Err(error) => Err(OrderError::Platform(error)),
        }
    }

    /// Reads the stored intent back to determine whether an unanswered write took effect.
    async fn read_back(&self, intent: &Intent, reason: String) -> Result<String, OrderError> {
        self.count_platform_call();
        let found = self.cx.objects.get::<Intent>(ObjectKind::Orders, intent.server.as_str()).await;
        match found {
            Ok(object) if object.spec == *intent => Ok(object.version),
            _ => Err(OrderError::Platform(PlatformError::Unknown(reason))),
        }
    }

    fn record_outcome(&self, intent: &Intent, outcome: &OrderOutcome) {
        let (order, argument) = intent.action.order_and_argument();
        let about =
            EventSubject { backend_server: Some(intent.server.clone()), ..EventSubject::default() };
        let detail = format!("{order} {argument} epoch {}: {outcome:?}", intent.epoch);
        self.cx.recorder.record_for(EventKind::Order, about, detail);
    }

    fn count_platform_call(&self) {
        self.cx.metrics.add(Counter::PlatformCalls, ObjectKind::Orders.as_str(), 1);
    }
}

/// Rejects orders to a server that ignores fencing tokens while a former holder may be active.
fn check_former_holders(server: &BackendServer, lease: &LiveLease) -> Result<(), OrderError> {
    let is_safe = server.checks_fencing || lease.former_holders().is_empty();
    if is_safe { Ok(()) } else { Err(OrderError::FormerHolderActive) }
}
