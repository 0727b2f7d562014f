//! Names of the things that the configuration and the messages speak of.

crate::name! {
    /// Name of an organisation, whose keys callers use and whose usage is billed.
    OrganisationName
    /// Name of a request class, which carries a tier and latency targets.
    ClassName
    /// Name of a route: a model, or a path prefix of a plain service.
    RouteName
    /// Name of a model as callers write it in a request.
    ModelName
    /// Name of a region, a group of data centres close to each other.
    RegionName
    /// Name of a data centre.
    DataCentreName
    /// Name of a backend server.
    BackendServerName
    /// Name of an instance of this program.
    InstanceName
    /// Public identifier of a key, safe to print.
    KeyId
    /// Identifier of one request, given by the entry instance and shown in every log line.
    RequestId
}

impl RequestId {
    /// Makes a new random identifier.
    pub fn random() -> Self {
        uuid::Uuid::new_v4().simple().to_string().into()
    }
}
