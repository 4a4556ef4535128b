//! Health checks of workers that were leaving, removed or at rest and may have started again.
//!
//! The kernel says which workers are unconfirmed; they get no requests until a check has shown whether
//! they leave or rest.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use bytes::Bytes;
use http::Uri;

use super::dialect::AnswerMetadata;
use super::host::GatewayHost;
use super::worker::WorkerEndpoint;
use super::worker::WorkerRequest;
use crate::event::LogEvent;
use crate::kernel::attempt::is_final_status;
use crate::kernel::departure::HealthCheck;
use crate::kernel::departure::HealthOutcome;
use crate::kernel::name::WorkerName;
use crate::kernel::roster::UpstreamRecord;
use crate::log_event;

/// Time limit for a check, which waits for a slot of the worker like any request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after a check that did not decide; it doubles with each further one.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(200);

/// Upper bound on that time.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(2);

/// Checks all unconfirmed workers, each until it is decided, until the process ends.
pub(super) async fn confirm_workers(host: Rc<GatewayHost>) {
    let in_progress: Rc<RefCell<BTreeSet<WorkerName>>> = Rc::default();
    loop {
        host.unconfirmed.notified().await;
        for worker in host.unconfirmed_workers() {
            if !in_progress.borrow_mut().insert(worker.clone()) {
                continue;
            }
            let host = Rc::clone(&host);
            let in_progress = Rc::clone(&in_progress);
            actix_rt::spawn(async move {
                confirm_worker(&host, &worker).await;
                in_progress.borrow_mut().remove(&worker);
            });
        }
    }
}

async fn confirm_worker(host: &Rc<GatewayHost>, worker: &WorkerName) {
    let mut delay = MIN_CHECK_DELAY;
    while let Some(record) = host.unconfirmed_worker(worker) {
        let check = HealthCheck {
            worker: worker.clone(),
            started_ms: record.started_ms,
            sent_at: host.clock.now(),
        };
        let checking = tokio::time::timeout(CHECK_TIMEOUT, check_health(host, &record));
        let outcome = checking.await.unwrap_or(HealthOutcome::Undecided);
        log_event!(host.log, LogEvent::WorkerChecked,
            "worker" => worker.as_str(),
            "started_ms" => record.started_ms,
            "outcome" => outcome.as_str());
        host.settle_worker(&check, outcome);
        if host.unconfirmed_worker(worker).is_some() {
            actix_rt::time::sleep(delay.mul_f64(rand::random_range(0.5..=1.0))).await;
            delay = (delay * 2).min(MAX_CHECK_DELAY);
        }
    }
}

/// Sends a health check to a worker. One of a service without health checks counts as sound.
async fn check_health(host: &Rc<GatewayHost>, record: &UpstreamRecord) -> HealthOutcome {
    let Some(target) = health_target(host, record) else {
        return HealthOutcome::Sound;
    };
    let worker = &record.worker;
    let Ok(connection) = host
        .connect_worker(worker, WorkerEndpoint::from(record))
        .await
    else {
        return HealthOutcome::Undecided;
    };
    let request = WorkerRequest {
        method: Method::GET,
        target,
        headers: host.dialect.health_headers(worker, record.address),
        body: Bytes::new(),
    };
    let Ok(mut answer) = connection.exchange(request).await else {
        return HealthOutcome::Undecided;
    };
    let status = answer.head().status;
    if !is_final_status(status.as_u16()) {
        return HealthOutcome::Undecided;
    }
    let metadata = host
        .dialect
        .answer_metadata(status.as_u16(), answer.head().headers());
    if let Some(rest) = metadata.rest.filter(|_| !names_other(worker, &metadata)) {
        let now = host.clock.now();
        host.rests.borrow_mut().record(now, worker, rest);
    }
    // An answer that is read to its end lets the connection close in an orderly way.
    while let Ok(Some(_)) = answer.next_chunk().await {}
    outcome_of(worker, status, &metadata)
}

fn health_target(host: &GatewayHost, record: &UpstreamRecord) -> Option<Uri> {
    let serving = host.latest_configuration()?;
    let service = serving.services.get(&record.service)?;
    service.health_path.as_ref()?.parse().ok()
}

/// Returns what an answer to a health check shows; 503 is that of a worker that drains, has no room or
/// fails, so it shows nothing.
fn outcome_of(worker: &WorkerName, status: StatusCode, answer: &AnswerMetadata) -> HealthOutcome {
    if names_other(worker, answer) {
        HealthOutcome::Undecided
    } else if answer.leaving {
        HealthOutcome::Leaving
    } else if status == StatusCode::OK {
        HealthOutcome::Sound
    } else if answer.worker.is_some() && status != StatusCode::SERVICE_UNAVAILABLE {
        HealthOutcome::Unhealthy
    } else {
        HealthOutcome::Undecided
    }
}

/// Returns whether another worker answered, which has the address now.
fn names_other(worker: &WorkerName, answer: &AnswerMetadata) -> bool {
    let named = answer.worker.as_deref();
    named.is_some_and(|named| named != worker.as_str())
}
