//! Test support: instances that consist of a usage task and a peer service, in one process.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumvalve::clock::Clock;
use laburnumvalve::context::Context;
use laburnumvalve::event::Recorder;
use laburnumvalve::metrics::Metrics;
use laburnumvalve::options::{Options, Secret};
use laburnumvalve::peer::generated::v1::peer_server::{Peer, PeerServer};
use laburnumvalve::peer::generated::v1::{
    BeatReply, BeatRequest, FetchConfigReply, FetchConfigRequest, KeepUsageReply, KeepUsageRequest,
    SpreadReply, SpreadRequest, TimelineReply, TimelineRequest,
};
use laburnumvalve::peer::{Member, Members, PeerPool};
use laburnumvalve::platform::ObjectClient;
use laburnumvalve::timer::Timer;
use laburnumvalve::usage::tally::{Tally, UsageTotals, add_totals};
use laburnumvalve::usage::{Ledger, LedgerSettings, ServedRequest, task};
use standins::Platform;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// Interval that does not elapse during a test.
pub const NEVER: Duration = Duration::from_secs(3_600);

/// Senders of the values that the tasks of an instance watch.
pub struct Controls {
    pub members: watch::Sender<Arc<Members>>,
    pub draining: watch::Sender<bool>,
}

/// Creates the context of an instance with the given options.
pub fn context(options: Options, incarnation: u64) -> (Context, Controls) {
    let clock = Clock::default();
    let (members_tx, members) = watch::channel(Arc::default());
    let (draining_tx, draining) = watch::channel(false);
    let cx = Context {
        incarnation,
        recorder: Recorder::new(options.instance.clone(), clock.clone()),
        clock,
        timer: Timer::start(),
        metrics: Metrics::default(),
        objects: ObjectClient::new(&options.platform_url).expect("client"),
        pool: PeerPool::new(&options.fleet_secret).expect("pool"),
        options: Arc::new(options),
        in_force: watch::channel(Arc::default()).1,
        members,
        loads: watch::channel(Arc::default()).1,
        draining,
    };
    (cx, Controls { members: members_tx, draining: draining_tx })
}

/// Returns the options of an instance on a platform.
pub fn options(name: &str, platform: &Platform) -> Options {
    Options {
        instance: name.into(),
        data_centre: "kolkata-a".into(),
        platform_url: platform.url(),
        orders_url: platform.url(),
        usage_url: platform.url(),
        fleet_secret: Secret::new("fleet-secret-0123"),
        ..Options::default()
    }
}

/// A peer service that only stores replicated usage records.
struct ReplicaService {
    ledger: Ledger,
}

#[tonic::async_trait]
impl Peer for ReplicaService {
    async fn keep_usage(
        &self,
        req: Request<KeepUsageRequest>,
    ) -> Result<Response<KeepUsageReply>, Status> {
        let stored = self.ledger.store_replica(req.into_inner()).await;
        stored.map_err(|full| Status::resource_exhausted(full.to_string()))?;
        Ok(Response::new(KeepUsageReply {}))
    }

    async fn beat(&self, _: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        Err(Status::unimplemented("beat"))
    }

    async fn fetch_config(
        &self,
        _: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        Err(Status::unimplemented("fetch_config"))
    }

    async fn spread(&self, _: Request<SpreadRequest>) -> Result<Response<SpreadReply>, Status> {
        Err(Status::unimplemented("spread"))
    }

    async fn timeline(
        &self,
        _: Request<TimelineRequest>,
    ) -> Result<Response<TimelineReply>, Status> {
        Err(Status::unimplemented("timeline"))
    }
}

/// A running instance.
pub struct Instance {
    pub cx: Context,
    pub ledger: Ledger,
    controls: Controls,
    member: Member,
    server: JoinHandle<()>,
}

/// Running instances that know each other.
pub struct Fleet {
    pub instances: BTreeMap<String, Instance>,
}

impl Fleet {
    /// Starts instances by name and data centre. Local records are written only on a flush.
    pub async fn start(platform: &Platform, names: &[(&str, &str)]) -> Self {
        let settings = LedgerSettings {
            flush_period: NEVER,
            absence_timeout: Duration::from_millis(100),
            max_replica_age: NEVER,
            retry_period: Duration::from_millis(20),
            ..LedgerSettings::default()
        };
        let mut instances = BTreeMap::new();
        for (index, (name, data_centre)) in names.iter().enumerate() {
            let options = Options { data_centre: (*data_centre).into(), ..options(name, platform) };
            let (cx, controls) = context(options, index as u64 + 1);
            let ledger = task::start_with(cx.clone(), settings);
            let (server, peer_address) = serve(ledger.clone()).await;
            let member = Member {
                name: (*name).into(),
                data_centre: (*data_centre).into(),
                peer_address,
                leaving: false,
            };
            let instance = Instance { cx, ledger, controls, member, server };
            instances.insert((*name).to_owned(), instance);
        }
        let fleet = Self { instances };
        fleet.set_suspected(&[]);
        fleet
    }

    /// Sets which instances all others suspect.
    pub fn set_suspected(&self, suspected: &[&str]) {
        let listed = self
            .instances
            .values()
            .map(|instance| (instance.member.name.clone(), instance.member.clone()))
            .collect();
        let suspected = suspected.iter().map(|name| (*name).into()).collect();
        let members = Arc::new(Members { listed, suspected, ..Members::default() });
        for instance in self.instances.values() {
            instance.controls.members.send_replace(members.clone());
        }
    }

    /// Stops an instance immediately and removes it from the list.
    pub fn kill(&mut self, name: &str) {
        let instance = self.instances.remove(name).expect("running");
        instance.server.abort();
        drop(instance);
        self.set_suspected(&[]);
    }

    /// Returns a handle to the usage task of an instance.
    pub fn ledger(&self, name: &str) -> Ledger {
        self.instances[name].ledger.clone()
    }
}

async fn serve(ledger: Ledger) -> (JoinHandle<()>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address").to_string();
    let service = PeerServer::new(ReplicaService { ledger });
    let server = tonic::transport::Server::builder().add_service(service);
    let incoming = TcpListenerStream::new(listener);
    let handle = tokio::spawn(async move {
        server.serve_with_incoming(incoming).await.expect("peer service");
    });
    (handle, address)
}

/// Returns a served request of an organisation, with 10 prompt tokens.
pub fn served(organisation: &str, output_tokens: u64) -> ServedRequest {
    ServedRequest {
        request: "r".into(),
        organisation: organisation.into(),
        class: "long".into(),
        route: "timing-model".into(),
        prompt_tokens: 10,
        output_tokens,
    }
}

/// Returns the usage in all stored tallies, summed over organisations.
pub fn tallied(platform: &Platform) -> UsageTotals {
    let mut sum = UsageTotals::default();
    for spec in platform.objects("tallies").into_values() {
        let tally: Tally = serde_json::from_value(spec).expect("tally");
        let mut totals = BTreeMap::new();
        add_totals(&mut totals, &tally.totals_after(0));
        totals.into_values().for_each(|usage| sum += usage);
    }
    sum
}

/// Waits until a condition holds; fails the test after 30 seconds.
pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..1_500 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for: {what}");
}
