//! Authentication: which key a request carries, and what the key allows at this moment.

use std::time::Duration;

use salvo::http::HeaderMap;
use salvo::http::header::AUTHORIZATION;

use crate::config::{Access, Class, Config, InForce, InForceWatch, KeyHash, Repeatability, Route};
use crate::names::{OrganisationName, RouteName};
use crate::options::Secret;
use crate::outcome::RefusalCode;

/// Header that carries a key, beside `Authorization`.
const API_KEY_HEADER: &str = "x-api-key";
/// Header that asks for a class.
pub const CLASS_HEADER: &str = "x-request-class";
/// Organisation of callers without a key; a sheet can't hold this name.
pub const ANONYMOUS_ORGANISATION: &str = "(open)";
/// Shortest key that is searched for in text; shorter ones would match by chance.
const MIN_DETECTABLE_KEY_BYTES: usize = 8;

/// Why a request is refused before anything is done for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestError {
    /// Stable code.
    pub code: RefusalCode,
    /// Text for people.
    pub message: String,
    /// Time after which a repeat has a chance, where waiting helps.
    pub retry_after: Option<Duration>,
}

impl RequestError {
    /// Makes a denial.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry_after: None }
    }

    /// Adds the time after which a repeat has a chance.
    #[must_use]
    pub fn with_retry_after(self, delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..self }
    }
}

/// The key that came with a request.
#[derive(Debug, Clone)]
pub struct PresentedKey {
    secret: Secret,
    /// Hash by which the configuration knows the key.
    pub hash: KeyHash,
}

impl PresentedKey {
    fn new(text: &str) -> Self {
        Self { secret: Secret::new(text), hash: KeyHash::of(text) }
    }

    /// Returns whether a text holds the key.
    pub fn occurs_in(&self, text: &[u8]) -> bool {
        let key = self.secret.reveal().as_bytes();
        key.len() >= MIN_DETECTABLE_KEY_BYTES && text.windows(key.len()).any(|window| window == key)
    }
}

/// Who a request runs for.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The organisation; [`ANONYMOUS_ORGANISATION`] for a caller without a key.
    pub organisation: OrganisationName,
    /// The key, if one came with the request.
    pub key: Option<PresentedKey>,
}

impl Caller {
    /// Returns whether usage is billed to an organisation.
    pub fn is_billed(&self) -> bool {
        self.key.is_some()
    }

    /// Returns whether a text holds the caller's key.
    pub fn key_occurs_in(&self, text: &[u8]) -> bool {
        self.key.as_ref().is_some_and(|key| key.occurs_in(text))
    }
}

/// Reads the key of a request; the same key may come in several headers.
///
/// # Errors
/// If the headers hold different keys or a scheme other than `Bearer`.
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

/// Decides who a request runs for.
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

/// Chooses the class of a request: from the header, else the key's default, else the route.
///
/// # Errors
/// If the header asks for a class that the key does not allow.
pub fn choose_class(
    in_force: &InForce,
    caller: &Caller,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Class, RequestError> {
    let config = &in_force.config;
    let key = caller.key.as_ref().and_then(|key| in_force.valid_key(&key.hash));
    let default = key.and_then(|key| key.default_class.as_ref()).unwrap_or(&route.class);
    let asked = headers.get(CLASS_HEADER).map(|value| value.to_str().unwrap_or_default());
    let name = match asked {
        None => default.as_str(),
        Some(asked) if asked == default.as_str() => asked,
        Some(asked) if key.is_some_and(|key| key.allowed_classes.contains(asked)) => asked,
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

/// Returns whether a request may be run again: only if its class and its route's class allow it.
///
/// The route's class counts too, so that a key's default class can't make a booking repeatable.
pub fn is_repeatable(config: &Config, class: &Class, route: &Route) -> bool {
    let repeatable = |class: &Class| class.repeatability == Repeatability::Idempotent;
    repeatable(class) && config.classes.get(&route.class).is_none_or(repeatable)
}

/// Watches what is in force on behalf of one request.
pub struct AuthWatch {
    in_force: InForceWatch,
    caller: Caller,
    route: RouteName,
}

impl AuthWatch {
    /// Starts to watch for a request.
    pub fn new(mut in_force: InForceWatch, caller: Caller, route: RouteName) -> Self {
        in_force.mark_changed();
        Self { in_force, caller, route }
    }

    /// Waits until the caller's key is no longer valid for its organisation.
    pub async fn key_withdrawn(&mut self) {
        loop {
            if self.in_force.changed().await.is_err() {
                // The instance is stopping; nothing can change any more.
                std::future::pending::<()>().await;
            }
            if !self.key_is_valid() {
                // Later calls must return at once too.
                self.in_force.mark_changed();
                return;
            }
        }
    }

    /// Decides again, just before the request is sent, whether it may run.
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
