//! Name types used in the configuration and in messages.

crate::name! {
    /// Name of an organisation: the owner of keys, whose usage is billed.
    OrganisationName
    /// Name of a request class, which has a tier and latency targets.
    ClassName
    /// Name of a route: a model, or a path prefix of a plain service.
    RouteName
    /// Name of a model in requests.
    ModelName
    /// Name of a region, a group of data centres close to each other.
    RegionName
    /// Name of a data centre.
    DataCentreName
    /// Name of a backend server.
    BackendServerName
    /// Version of a backend server's software; empty if its entry states none.
    SoftwareVersion
    /// Name of an instance of this program.
    InstanceName
    /// Public identifier of a key, safe to print.
    KeyId
    /// Identifier of a request, assigned by the entry instance and included in its log lines.
    RequestId
}

impl RequestId {
    /// Creates a random identifier.
    pub fn random() -> Self {
        uuid::Uuid::new_v4().simple().to_string().into()
    }
}
