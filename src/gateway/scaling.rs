//! Orders backend servers from the platform while this instance holds the duty lease.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::duty::DutyLease;
use super::shared::InstanceState;
use crate::metrics::Counter;
use crate::names::DataCentreName;
use crate::platform::PlatformError;
use crate::platform::duties::{DutyClient, Order};
use crate::routing::catalog::{Scaling, Service, ServiceName};
use crate::routing::scaling::{ServerCounts, desired_counts};
use crate::timer::Timer;

/// Period at which the actual and desired numbers of backend servers are compared.
const RECONCILE_PERIOD: Duration = Duration::from_millis(1_000);
/// Time in addition to the startup time after which an order without effect is issued again.
const REISSUE_MARGIN: Duration = Duration::from_millis(1_500);

/// Service, data centre, and whether the order is for spot servers.
type OrderKey = (ServiceName, DataCentreName, bool);

/// Compares actual and desired numbers and issues orders until the process exits.
pub async fn run(
    cx: Rc<InstanceState>,
    duties: DutyClient,
    duty_lease: Rc<DutyLease>,
    timer: Timer,
) {
    let mut ticks = timer.every(RECONCILE_PERIOD);
    let mut issued: HashMap<OrderKey, (u32, Instant)> = HashMap::new();
    while ticks.recv().await.is_some() {
        if duty_lease.identity().is_none() {
            issued.clear();
            continue;
        }
        // Without the list of backend servers, all of them would seem to be missing.
        if !cx.can_route() {
            continue;
        }
        for (order, reissue_after) in required_orders(&cx) {
            let key = (order.service.clone(), order.data_centre.clone(), order.is_spot);
            let is_recent = issued
                .get(&key)
                .is_some_and(|(count, at)| *count == order.count && at.elapsed() < reissue_after);
            if !is_recent {
                send_order(&cx, &duties, &duty_lease, &order).await;
                issued.insert(key, (order.count, Instant::now()));
            }
        }
    }
}

/// Returns the orders for all numbers that differ from the desired ones, with the time after which
/// each is issued again.
fn required_orders(cx: &InstanceState) -> Vec<(Order, Duration)> {
    let cfg = cx.cfg();
    let catalog = cx.catalog();
    let mut orders = Vec::new();
    for service in catalog.services() {
        let Some(scaling) = &service.scaling else { continue };
        for data_centre in scaling.prices.keys() {
            let data_centre = DataCentreName::from(&**data_centre);
            let counts = count_servers(cx, service, &data_centre);
            let desired = desired_counts(&cfg.scaling, scaling, counts, cx.has_traffic());
            let pairs =
                [(true, counts.spot, desired.spot), (false, counts.on_demand, desired.on_demand)];
            for (is_spot, actual, count) in pairs {
                if actual != count {
                    let (service, data_centre) = (service.name.clone(), data_centre.clone());
                    let order = Order { service, data_centre, count, is_spot };
                    orders.push((order, reissue_after(scaling)));
                }
            }
        }
    }
    orders
}

fn reissue_after(scaling: &Scaling) -> Duration {
    scaling.startup_time + REISSUE_MARGIN
}

fn count_servers(
    cx: &InstanceState,
    service: &Service,
    data_centre: &DataCentreName,
) -> ServerCounts {
    let fleet = cx.fleet.borrow();
    let mut counts = ServerCounts::default();
    let of_service = fleet.all().filter(|server| server.entry.service == service.name);
    for server in of_service.filter(|server| server.entry.data_centre == *data_centre) {
        if server.entry.is_draining {
            continue;
        }
        if server.entry.is_spot {
            counts.spot += 1;
        } else {
            counts.on_demand += 1;
        }
    }
    counts
}

async fn send_order(
    cx: &InstanceState,
    duties: &DutyClient,
    duty_lease: &DutyLease,
    order: &Order,
) {
    let Some(identity) = duty_lease.identity() else { return };
    cx.metrics.add(Counter::PlatformCalls, "orders", 1);
    let result = duties.set_desired_count(&identity, order).await;
    tracing::info!(
        ?order,
        fence = identity.fencing_token,
        answer = ?result,
        "order for backend servers sent"
    );
    // A conflict may mean that no servers are available, so it doesn't prove that there is a later
    // lease holder.
    if let Err(error) = result
        && error != PlatformError::Conflict
    {
        cx.metrics.add(Counter::PlatformFailures, "orders", 1);
        tracing::warn!(?order, %error, "ordering backend servers failed");
    }
}
