//! Test instances that run only the configuration tasks, against a simulated platform.
#![allow(dead_code)]

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use laburnumvalve::clock::Clock;
use laburnumvalve::config::{self, Config, ConfigHandle, InForce, KeyHash};
use laburnumvalve::context::Context;
use laburnumvalve::event::Recorder;
use laburnumvalve::metrics::{Counter, Metrics};
use laburnumvalve::names::KeyId;
use laburnumvalve::options::{Options, Secret};
use laburnumvalve::peer::generated::v1::peer_server::{Peer, PeerServer};
use laburnumvalve::peer::generated::v1::{
    BeatReply, BeatRequest, FetchConfigReply, FetchConfigRequest, KeepUsageReply, KeepUsageRequest,
    SpreadReply, SpreadRequest, TimelineReply, TimelineRequest,
};
use laburnumvalve::peer::{Member, Members, PeerPool};
use laburnumvalve::platform::ObjectClient;
use laburnumvalve::timer::Timer;
use standins::{Platform, PlatformSettings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

/// Administration secret of the test instances.
pub const ADMIN_SECRET: &str = "admin-secret-of-the-tests";
/// Time after which [`wait_until`] fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// An instance that runs the configuration tasks but serves no requests.
pub struct TestInstance {
    pub cx: Context,
    pub config: ConfigHandle,
    pub member: Member,
    members: watch::Sender<Arc<Members>>,
    pub draining: watch::Sender<bool>,
}

pub async fn start_platform() -> Platform {
    Platform::start(PlatformSettings::default()).await.expect("the platform can't be started")
}

/// Starts an instance that uses the platform at a URL and pulls from `seeds` at start.
pub async fn start_instance(name: &str, platform: &str, seeds: &[&TestInstance]) -> TestInstance {
    let listener = TcpListener::bind(standins::ANY_PORT).await.expect("no port can be bound");
    let address = listener.local_addr().expect("a bound port has an address");
    let options = Options {
        instance: name.into(),
        data_centre: "kolkata-a".into(),
        platform_url: platform.to_owned(),
        peer_listen: address,
        seeds: seeds.iter().map(|seed| seed.cx.options.peer_listen).collect(),
        admin_secret: Secret::new(ADMIN_SECRET),
        ..Options::default()
    };
    let (in_force_tx, in_force) = watch::channel(Arc::default());
    let (members_tx, members) = watch::channel(Arc::default());
    let (_, loads) = watch::channel(Arc::default());
    let (draining_tx, draining) = watch::channel(false);
    let clock = Clock::default();
    let cx = Context {
        incarnation: 1,
        recorder: Recorder::new(options.instance.clone(), clock.clone()),
        clock,
        timer: Timer::start(),
        metrics: Metrics::default(),
        objects: ObjectClient::new(platform).expect("the client can't be built"),
        pool: PeerPool::new(&Secret::new("fleet-secret-of-the-tests")).expect("a plain secret"),
        options: Arc::new(options),
        in_force,
        members,
        loads,
        draining,
    };
    let config = config::start(cx.clone(), in_force_tx);
    let service = PeerServer::new(ConfigPeer(config.clone()));
    let server = tonic::transport::Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    let member = Member {
        name: name.into(),
        data_centre: "kolkata-a".into(),
        peer_address: address.to_string(),
        leaving: false,
    };
    TestInstance { cx, config, member, members: members_tx, draining: draining_tx }
}

impl TestInstance {
    pub fn in_force(&self) -> Arc<InForce> {
        self.cx.in_force.borrow().clone()
    }

    pub fn version(&self) -> u64 {
        self.in_force().config.version
    }

    /// Returns whether a key is valid on this instance.
    pub fn accepts(&self, key: &str) -> bool {
        self.in_force().valid_key(&KeyHash::of(key)).is_some()
    }

    /// Handles the configuration part of a beat from another instance.
    pub fn simulate_beat_from(&self, other: &TestInstance) {
        let state = other.config.state();
        self.config.handle_beat(&other.member, state.version(), state.digest());
    }

    /// Issues a key; returns its identifier and the key.
    pub async fn issue_key(&self) -> (KeyId, String) {
        let issued = self.config.issue_key("shobdo".into(), None, Vec::new()).await;
        let issued = issued.expect("the key is issued");
        (issued.id, issued.key)
    }

    /// Returns the number of reads and watches that this instance sent to the platform.
    pub fn platform_calls(&self) -> u64 {
        let kinds = ["root-read", "shard-read", "marks-read", "watch"];
        kinds.iter().map(|kind| self.cx.metrics.counter_value(Counter::PlatformCalls, kind)).sum()
    }

    pub async fn wait_for_version(&self, version: u64) {
        wait_until("the version is in force", async || self.version() >= version).await;
    }
}

/// Sets the member list of each instance to all of the given instances.
pub fn set_members(instances: &[&TestInstance]) {
    let listed: std::collections::BTreeMap<_, _> = instances
        .iter()
        .map(|instance| (instance.member.name.clone(), instance.member.clone()))
        .collect();
    for instance in instances {
        let members = Members { revision: 1, listed: listed.clone(), ..Members::default() };
        instance.members.send_replace(Arc::new(members));
    }
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, holds: impl Fn() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}

/// Returns the configuration of [`sheet_of_weight`].
pub fn config_of_weight(weight: u32) -> Config {
    laburnumvalve::sheet::parse(sheet_of_weight(weight).as_bytes()).expect("a valid sheet")
}

/// Returns a sheet whose organisation `shobdo` has the given weight.
pub fn sheet_of_weight(weight: u32) -> String {
    format!(
        "table,name,tier,first-token-ms,token-gap-ms,repeatable,model,access,class,weight,region,data-centre,address,routes,slots,cold-limit,in-service
class,live,0,500,50,yes,,,,,,,,,,,
route,timing,,,,,timing-model,granted,live,,,,,,,,
organisation,shobdo,,,,,,,,{weight},,,,timing,,,
organisation,marrowgate,,,,,,,,1,,,,timing,,,
data-centre,kolkata-a,,,,,,,,,bengal-east,,,,,,yes
backend-server,engine-1,,,,,,,,,,kolkata-a,http://10.0.0.7:8000,timing,8,2,yes
"
    )
}

/// Peer service that implements only the configuration calls.
struct ConfigPeer(ConfigHandle);

#[tonic::async_trait]
impl Peer for ConfigPeer {
    async fn beat(&self, _: Request<BeatRequest>) -> Result<Response<BeatReply>, Status> {
        Err(Status::unimplemented("not implemented by the test instance"))
    }

    async fn fetch_config(
        &self,
        req: Request<FetchConfigRequest>,
    ) -> Result<Response<FetchConfigReply>, Status> {
        Ok(Response::new(self.0.handle_fetch(req.into_inner()).await))
    }

    async fn spread(&self, req: Request<SpreadRequest>) -> Result<Response<SpreadReply>, Status> {
        Ok(Response::new(self.0.handle_spread(req.into_inner()).await))
    }

    async fn keep_usage(
        &self,
        _: Request<KeepUsageRequest>,
    ) -> Result<Response<KeepUsageReply>, Status> {
        Err(Status::unimplemented("not implemented by the test instance"))
    }

    async fn timeline(
        &self,
        _: Request<TimelineRequest>,
    ) -> Result<Response<TimelineReply>, Status> {
        Err(Status::unimplemented("not implemented by the test instance"))
    }
}
