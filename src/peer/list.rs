//! Client of the platform's list of instances, which lags behind the actual state.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;

use super::members::Member;
use crate::names::InstanceName;
use crate::platform::PlatformError;

/// Timeout of reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Name of the peer service's port in the list.
const PEER_PORT_NAME: &str = "peer";
/// Path of the list below the platform's base URL.
const LIST_PATH: &str = "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices";

value! {
    /// The list of instances at one revision.
    pub struct MemberList {
        /// Revision of the list; it grows with each change.
        pub revision: u64,
        /// Instances by name.
        pub members: BTreeMap<InstanceName, Member>,
    }
}

#[derive(Deserialize)]
struct SliceList {
    metadata: ListMetadata,
    items: Vec<Slice>,
}

#[derive(Deserialize)]
struct ListMetadata {
    #[serde(rename = "resourceVersion")]
    resource_version: String,
}

#[derive(Deserialize)]
struct Slice {
    metadata: SliceMetadata,
    endpoints: Vec<Endpoint>,
    ports: Vec<Port>,
}

#[derive(Deserialize)]
struct SliceMetadata {
    name: String,
}

#[derive(Deserialize)]
struct Endpoint {
    addresses: Vec<String>,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    conditions: Conditions,
}

#[derive(Default, Deserialize)]
struct Conditions {
    #[serde(default)]
    terminating: bool,
}

#[derive(Deserialize)]
struct Port {
    #[serde(default)]
    name: String,
    port: u16,
}

/// Reads the list of instances from the platform at `base`, its base URL.
///
/// # Errors
/// Fails if the platform does not answer in time, or if the response isn't a list of instances.
pub async fn read_list(http: &reqwest::Client, base: &str) -> Result<MemberList, PlatformError> {
    let url = format!("{}{LIST_PATH}", base.trim_end_matches('/'));
    let unknown = |error: reqwest::Error| PlatformError::Unknown(error.to_string());
    let rsp = http.get(url).timeout(LIST_TIMEOUT).send().await.map_err(unknown)?;
    if !rsp.status().is_success() {
        return Err(PlatformError::Refused(rsp.status().to_string()));
    }
    let list: SliceList =
        rsp.json().await.map_err(|error| PlatformError::Malformed(error.to_string()))?;
    parse_list(list)
}

fn parse_list(list: SliceList) -> Result<MemberList, PlatformError> {
    let revision = list.metadata.resource_version.parse().map_err(|_| {
        PlatformError::Malformed("resourceVersion of the instance list is not a number".to_owned())
    })?;
    let members = list.items.into_iter().filter_map(parse_slice);
    Ok(MemberList { revision, members: members.map(|m| (m.name.clone(), m)).collect() })
}

/// Returns the member that a slice describes; `None` if it has no address or no peer port.
fn parse_slice(slice: Slice) -> Option<Member> {
    let endpoint = slice.endpoints.into_iter().next()?;
    let address = endpoint.addresses.into_iter().next()?;
    let port = slice.ports.iter().find(|port| port.name == PEER_PORT_NAME)?.port;
    Some(Member {
        name: slice.metadata.name.into(),
        data_centre: endpoint.zone.into(),
        peer_address: format!("{address}:{port}"),
        leaving: endpoint.conditions.terminating,
    })
}
