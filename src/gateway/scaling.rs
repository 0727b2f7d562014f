//! Orders backend servers while this instance holds the duties.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::duty::Duty;
use super::shared::Shared;
use crate::metrics::Counter;
use crate::names::DataCentreName;
use crate::platform::PlatformError;
use crate::platform::duties::{Duties, Order};
use crate::routing::catalog::{Scaling, Service, ServiceName};
use crate::routing::scaling::{ServerCounts, desired_counts};
use crate::timer::Timer;

/// Period at which the numbers of backend servers are compared with the wished ones.
const PERIOD: Duration = Duration::from_millis(1_000);
/// Time besides the boot time after which an order that had no effect is repeated.
const REPEAT_MARGIN: Duration = Duration::from_millis(1_500);

/// What an order is about.
type Subject = (ServiceName, DataCentreName, bool);

/// Compares and orders until the process ends.
pub async fn run(cx: Rc<Shared>, duties: Duties, duty: Rc<Duty>, timer: Timer) {
    let mut ticks = timer.every(PERIOD);
    let mut ordered: HashMap<Subject, (u32, Instant)> = HashMap::new();
    while ticks.recv().await.is_some() {
        if duty.caller().is_none() {
            ordered.clear();
            continue;
        }
        for (order, repeat_after) in wanted(&cx) {
            let subject = (order.service.clone(), order.data_centre.clone(), order.is_spot);
            let is_recent = ordered
                .get(&subject)
                .is_some_and(|(count, at)| *count == order.count && at.elapsed() < repeat_after);
            if !is_recent {
                send(&cx, &duties, &duty, &order).await;
                ordered.insert(subject, (order.count, Instant::now()));
            }
        }
    }
}

/// Returns the orders that would bring the numbers to the wished ones.
fn wanted(cx: &Shared) -> Vec<(Order, Duration)> {
    let cfg = cx.cfg();
    let catalog = cx.catalog();
    let mut orders = Vec::new();
    for service in catalog.services() {
        let Some(scaling) = &service.scaling else { continue };
        for data_centre in scaling.prices.keys() {
            let data_centre = DataCentreName::from(&**data_centre);
            let census = count(cx, service, &data_centre);
            let wish = desired_counts(&cfg.scaling, scaling, census);
            let pairs = [(true, census.spot, wish.spot), (false, census.on_demand, wish.on_demand)];
            for (is_spot, has, count) in pairs {
                if has != count {
                    let (service, data_centre) = (service.name.clone(), data_centre.clone());
                    let order = Order { service, data_centre, count, is_spot };
                    orders.push((order, repeat_after(scaling)));
                }
            }
        }
    }
    orders
}

fn repeat_after(scaling: &Scaling) -> Duration {
    scaling.startup_time + REPEAT_MARGIN
}

fn count(cx: &Shared, service: &Service, data_centre: &DataCentreName) -> ServerCounts {
    let fleet = cx.fleet.borrow();
    let mut census = ServerCounts::default();
    let of_service = fleet.all().filter(|server| server.entry.service == service.name);
    for server in of_service.filter(|server| server.entry.data_centre == *data_centre) {
        if server.entry.is_draining {
            continue;
        }
        if server.entry.is_spot {
            census.spot += 1;
        } else {
            census.on_demand += 1;
        }
    }
    census
}

async fn send(cx: &Shared, duties: &Duties, duty: &Duty, order: &Order) {
    let Some(caller) = duty.caller() else { return };
    cx.metrics.add(Counter::PlatformCalls, "orders", 1);
    let answer = duties.order(&caller, order).await;
    tracing::info!(?order, fence = caller.fence, ?answer, "backend servers ordered");
    // A conflict also means that none are to be had, so it does not tell of a later holder.
    if let Err(error) = answer
        && error != PlatformError::Conflict
    {
        cx.metrics.add(Counter::PlatformFailures, "orders", 1);
        tracing::warn!(?order, %error, "order of backend servers failed");
    }
}
