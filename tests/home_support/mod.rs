//! Fixtures for the admission tests.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use laburnumvalve::clock::Clock;
use laburnumvalve::config::{
    Access, BackendServer, Class, Config, DataCentre, InForce, Organisation, Repeatability, Route,
    RouteTarget, ServerKind, Tier,
};
use laburnumvalve::context::Context;
use laburnumvalve::event::Recorder;
use laburnumvalve::metrics::Metrics;
use laburnumvalve::options::{Options, Secret};
use laburnumvalve::peer::{Loads, Member, Members, PeerPool};
use laburnumvalve::platform::ObjectClient;
use laburnumvalve::timer::Timer;
use tokio::sync::watch;

/// Returns a class of a tier with a promised share in thousandths.
pub fn class(name: &str, tier: u8, promised_share: u16) -> Class {
    Class {
        name: name.into(),
        tier: Tier(tier),
        first_token_ms: 2_000,
        token_gap_ms: 50,
        promised_share,
        repeatability: Repeatability::Idempotent,
    }
}

/// Returns an organisation with a weight and no limits.
pub fn organisation(name: &str, weight: u32) -> Organisation {
    Organisation {
        name: name.into(),
        weight,
        tokens_per_minute: None,
        max_running: None,
        max_waiting: 1_000,
    }
}

/// Returns a backend server of the route `chat` in the data centre `a`.
pub fn server(name: &str, slots: u32, cold_limit: u32) -> BackendServer {
    BackendServer {
        name: name.into(),
        data_centre: "a".into(),
        address: "http://127.0.0.1:9".to_owned(),
        routes: BTreeSet::from(["chat".into()]),
        kind: ServerKind::Standard,
        price: 1,
        slots,
        cold_limit,
        checks_fencing: true,
        in_service: true,
    }
}

/// Returns a configuration with one route and one data centre.
pub fn config(
    classes: Vec<Class>,
    organisations: Vec<Organisation>,
    servers: Vec<BackendServer>,
) -> Config {
    let route = Route {
        name: "chat".into(),
        target: RouteTarget::Model("model".into()),
        access: Access::Open,
        class: classes[0].name.clone(),
    };
    let centre = DataCentre { name: "a".into(), region: "east".into(), in_service: true };
    Config {
        version: 1,
        organisations: organisations.into_iter().map(|org| (org.name.clone(), org)).collect(),
        classes: classes.into_iter().map(|class| (class.name.clone(), class)).collect(),
        routes: BTreeMap::from([(route.name.clone(), route)]),
        data_centres: BTreeMap::from([(centre.name.clone(), centre)]),
        backend_servers: servers.into_iter().map(|server| (server.name.clone(), server)).collect(),
        keys: BTreeMap::new(),
    }
}

/// Returns members with the given names and peer addresses, each certain to hear this instance.
pub fn members(listed: &[(&str, String)]) -> Members {
    let member = |(name, address): &(&str, String)| Member {
        name: (*name).into(),
        data_centre: "a".into(),
        peer_address: address.clone(),
        leaving: false,
    };
    Members {
        revision: 1,
        listed: listed.iter().map(|entry| (entry.0.into(), member(entry))).collect(),
        suspected: BTreeSet::new(),
        certain: listed.iter().map(|(name, _)| (*name).into()).collect(),
    }
}

/// Senders through which a test changes the state that an instance sees.
pub struct Views {
    pub in_force: watch::Sender<Arc<InForce>>,
    pub members: watch::Sender<Arc<Members>>,
    pub draining: watch::Sender<bool>,
    _loads: watch::Sender<Arc<Loads>>,
}

/// Returns the context of an instance with a configuration and members.
pub fn context(instance: &str, config: Config, members: Members) -> (Context, Views) {
    let options = Options {
        instance: instance.into(),
        data_centre: "a".into(),
        fleet_secret: Secret::new("fleet"),
        ..Options::default()
    };
    let clock = Clock::default();
    let in_force = InForce { config: Arc::new(config), ..InForce::default() };
    let (in_force_tx, in_force) = watch::channel(Arc::new(in_force));
    let (members_tx, members) = watch::channel(Arc::new(members));
    let (loads_tx, loads) = watch::channel(Arc::default());
    let (draining_tx, draining) = watch::channel(false);
    let cx = Context {
        pool: PeerPool::new(&options.fleet_secret).expect("the secret is plain text"),
        recorder: Recorder::new(options.instance.clone(), clock.clone()),
        options: Arc::new(options),
        incarnation: 1,
        clock,
        timer: Timer::start(),
        metrics: Metrics::default(),
        objects: ObjectClient::new("http://127.0.0.1:9")
            .expect("the client is built from constants"),
        in_force,
        members,
        loads,
        draining,
    };
    let views = Views {
        in_force: in_force_tx,
        members: members_tx,
        draining: draining_tx,
        _loads: loads_tx,
    };
    (cx, views)
}
