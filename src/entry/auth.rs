//! Authentication and authorisation of requests against the configuration in force.

use std::time::Duration;

use salvo::http::HeaderMap;
use salvo::http::header::AUTHORIZATION;

use crate::config::{Access, Class, Config, InForce, InForceWatch, KeyHash, Repeatability, Route};
use crate::names::{OrganisationName, RouteName};
use crate::options::Secret;
use crate::outcome::RefusalCode;

/// Header that may carry the key in addition to or in place of `Authorization`.
const API_KEY_HEADER: &str = "x-api-key";
/// Header that selects a request class.
pub const CLASS_HEADER: &str = "x-request-class";
/// Organisation of callers without a key; not a valid name in a configuration sheet.
pub const ANONYMOUS_ORGANISATION: &str = "(open)";
/// Minimum length of a key that is searched for in text; shorter keys would give false matches.
const MIN_DETECTABLE_KEY_BYTES: usize = 8;

/// An error reported to the caller, before it is known whether the request ran.
///
/// [`Dispatch::into_refusal`](super::dispatch::Dispatch::into_refusal) adds that part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Stable error code.
    pub code: RefusalCode,
    /// Human-readable message.
    pub message: String,
    /// Time after which a retry may succeed, if it may.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Creates an error without a `Retry-After`.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

/// A key presented by a caller.
#[derive(Debug, Clone)]
pub struct PresentedKey {
    secret: Secret,
    /// Hash that identifies the key in the configuration.
    pub hash: KeyHash,
}

impl PresentedKey {
    fn new(text: &str) -> Self {
        Self { secret: Secret::new(text), hash: KeyHash::of(text) }
    }

    /// Returns whether the key occurs in a text.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let key = self.secret.reveal().as_bytes();
        key.len() >= MIN_DETECTABLE_KEY_BYTES && text.windows(key.len()).any(|window| window == key)
    }
}

/// The authenticated sender of a request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation, or [`ANONYMOUS_ORGANISATION`] without a key.
    pub organisation: OrganisationName,
    /// The presented key, if any.
    pub key: Option<PresentedKey>,
}

impl Caller {
    /// Returns whether usage is billed to an organisation.
    pub fn is_billed(&self) -> bool {
        self.key.is_some()
    }

    /// Returns whether the caller's key occurs in a text.
    pub fn key_occurs_in(&self, text: &[u8]) -> bool {
        self.key.as_ref().is_some_and(|key| key.occurs_in(text))
    }
}

/// Extracts the key from the request headers; several headers may carry the same key.
///
/// # Errors
/// If the headers carry different keys or an authorization scheme other than `Bearer`.
pub fn extract_key(headers: &HeaderMap) -> Result<Option<PresentedKey>, RequestError> {
    let mut found: Option<String> = None;
    for value in headers.get_all(AUTHORIZATION) {
        let text = value.to_str().ok().and_then(bearer_token);
        merge_key(&mut found, text)?;
    }
    for value in headers.get_all(API_KEY_HEADER) {
        merge_key(&mut found, value.to_str().ok())?;
    }
    Ok(found.map(|key| PresentedKey::new(&key)))
}

fn merge_key(found: &mut Option<String>, text: Option<&str>) -> Result<(), RequestError> {
    let key = text.map(str::trim).filter(|key| !key.is_empty()).ok_or_else(|| {
        RequestError::new(RefusalCode::InvalidKey, "a key header does not hold a bearer key")
    })?;
    match found {
        Some(known) if known != key => {
            Err(RequestError::new(RefusalCode::BadRequest, "the request holds two different keys"))
        }
        _ => {
            *found = Some(key.to_owned());
            Ok(())
        }
    }
}

fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key)
}

/// Authenticates the caller and checks its access to the route.
///
/// # Errors
/// If the key is unknown or withdrawn, or the route is not granted to its organisation.
pub fn authorise(
    in_force: &InForce,
    key: Option<PresentedKey>,
    route: &Route,
) -> Result<Caller, RequestError> {
    match key {
        Some(key) => {
            let organisation = key_organisation(in_force, &key)?;
            check_route_access(in_force, &organisation, route)?;
            Ok(Caller { organisation, key: Some(key) })
        }
        None if route.access == Access::Open => {
            Ok(Caller { organisation: ANONYMOUS_ORGANISATION.into(), key: None })
        }
        None => Err(RequestError::new(RefusalCode::InvalidKey, "this route needs a key")),
    }
}

/// Returns the organisation of a valid key.
///
/// # Errors
/// If the key is unknown or withdrawn.
pub fn key_organisation(
    in_force: &InForce,
    key: &PresentedKey,
) -> Result<OrganisationName, RequestError> {
    let known = in_force.valid_key(&key.hash);
    let known = known.filter(|key| in_force.config.organisations.contains_key(&key.organisation));
    known
        .map(|key| key.organisation.clone())
        .ok_or_else(|| RequestError::new(RefusalCode::InvalidKey, "the key is not valid"))
}

fn check_route_access(
    in_force: &InForce,
    organisation: &OrganisationName,
    route: &Route,
) -> Result<(), RequestError> {
    let granted = in_force
        .config
        .organisations
        .get(organisation)
        .is_some_and(|organisation| in_force.may_use(organisation, route));
    if granted {
        Ok(())
    } else {
        Err(RequestError::new(
            RefusalCode::NotAllowed,
            "the key does not give access to this route",
        ))
    }
}

/// Returns the class of a request: the one in the header, else the key's default, else the route's.
///
/// # Errors
/// If the header selects a class that the key does not allow.
pub fn choose_class(
    in_force: &InForce,
    caller: &Caller,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Class, RequestError> {
    let config = &in_force.config;
    let key = caller.key.as_ref().and_then(|key| in_force.valid_key(&key.hash));
    let default = key.and_then(|key| key.default_class.as_ref()).unwrap_or(&route.class);
    let requested = headers.get(CLASS_HEADER).map(|value| value.to_str().unwrap_or_default());
    let name = match requested {
        None => default.as_str(),
        Some(requested) if requested == default.as_str() => requested,
        Some(requested) if key.is_some_and(|key| key.allowed_classes.contains(requested)) => {
            requested
        }
        Some(_) => {
            return Err(RequestError::new(
                RefusalCode::NotAllowed,
                "the key does not allow this class",
            ));
        }
    };
    let class = config.classes.get(name).cloned();
    class.ok_or_else(|| RequestError::new(RefusalCode::NotFound, format!("no class \"{name}\"")))
}

/// Returns whether a request is idempotent and may therefore be sent more than once.
///
/// Both its class and the class of its route must be idempotent, so that a key's default class
/// can't make a non-idempotent route repeatable.
pub fn is_repeatable(config: &Config, class: &Class, route: &Route) -> bool {
    let is_idempotent = |class: &Class| class.repeatability == Repeatability::Idempotent;
    is_idempotent(class) && config.classes.get(&route.class).is_none_or(is_idempotent)
}

/// Watches the configuration in force for changes that affect one request.
pub struct AuthWatch {
    in_force: InForceWatch,
    caller: Caller,
    route: RouteName,
}

impl AuthWatch {
    /// Starts watching on behalf of a request.
    pub fn new(mut in_force: InForceWatch, caller: Caller, route: RouteName) -> Self {
        // The first check must not wait for a change: the key may be withdrawn already.
        in_force.mark_changed();
        Self { in_force, caller, route }
    }

    /// Waits until the caller's key is no longer valid for its organisation.
    pub async fn key_withdrawn(&mut self) {
        loop {
            if self.in_force.changed().await.is_err() {
                // The instance is shutting down; no further changes will arrive.
                std::future::pending::<()>().await;
            }
            if !self.key_is_valid() {
                // Later calls must return immediately as well.
                self.in_force.mark_changed();
                return;
            }
        }
    }

    /// Repeats the authorisation immediately before the request is sent.
    ///
    /// # Errors
    /// If the key was withdrawn or the route is no longer granted.
    pub fn recheck(&mut self) -> Result<(), RequestError> {
        if !self.key_is_valid() {
            return Err(RequestError::new(RefusalCode::KeyWithdrawn, "the key was withdrawn"));
        }
        let in_force = self.in_force.borrow().clone();
        let route = in_force.config.routes.get(&self.route);
        let route =
            route.ok_or_else(|| RequestError::new(RefusalCode::NotFound, "no such route"))?;
        authorise(&in_force, self.caller.key.clone(), route).map(drop)
    }

    fn key_is_valid(&mut self) -> bool {
        let in_force = self.in_force.borrow_and_update().clone();
        let Some(key) = &self.caller.key else { return true };
        key_organisation(&in_force, key).is_ok_and(|name| name == self.caller.organisation)
    }
}
