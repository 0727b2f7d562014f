//! The lagging list of instances, as EndpointSlices.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::host::Reply;
use crate::lagged::Lagged;

/// An instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// Address of its peer service.
    pub peer_address: SocketAddr,
    /// Whether it is ready.
    pub ready: bool,
    /// Whether it is leaving.
    pub terminating: bool,
}

/// A version of the list.
#[derive(Debug, Clone, Default)]
struct Version {
    revision: u64,
    listed: BTreeMap<String, ListedInstance>,
}

/// The list with its history.
#[derive(Debug)]
pub(super) struct Instances {
    versions: Lagged<Version>,
}

impl Instances {
    pub(super) fn new(lag: Duration) -> Self {
        Self { versions: Lagged::new(Version::default(), lag) }
    }

    pub(super) fn register(&mut self, instance: ListedInstance) {
        self.change(|listed| {
            listed.insert(instance.name.clone(), instance);
        });
    }

    pub(super) fn deregister(&mut self, name: &str) {
        self.change(|listed| {
            listed.remove(name);
        });
    }

    pub(super) fn set_terminating(&mut self, name: &str) {
        self.change(|listed| {
            if let Some(instance) = listed.get_mut(name) {
                instance.terminating = true;
                instance.ready = false;
            }
        });
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.versions.set_lag(lag);
    }

    /// Lists the instances; `seen_at` replaces addresses of their peer services.
    pub(super) fn list(&self, seen_at: &BTreeMap<String, SocketAddr>) -> Reply {
        let (version, _) = self.versions.read();
        let items: Vec<Value> = version
            .listed
            .values()
            .map(|instance| {
                let address = seen_at.get(&instance.name).copied();
                endpoint_slice(instance, address.unwrap_or(instance.peer_address))
            })
            .collect();
        let metadata = json!({ "resourceVersion": version.revision.to_string() });
        Reply::Json(
            200,
            json!({
                "apiVersion": "discovery.k8s.io/v1",
                "kind": "EndpointSliceList",
                "metadata": metadata,
                "items": items,
            }),
        )
    }

    fn change(&mut self, change: impl FnOnce(&mut BTreeMap<String, ListedInstance>)) {
        let mut version = self.versions.current();
        change(&mut version.listed);
        version.revision += 1;
        self.versions.push(version);
    }
}

fn endpoint_slice(instance: &ListedInstance, address: SocketAddr) -> Value {
    let endpoint = json!({
        "addresses": [address.ip().to_string()],
        "zone": instance.data_centre,
        "conditions": { "ready": instance.ready, "terminating": instance.terminating },
    });
    json!({
        "metadata": { "name": instance.name },
        "addressType": "IPv4",
        "endpoints": [endpoint],
        "ports": [{ "name": "peer", "port": address.port() }],
    })
}
