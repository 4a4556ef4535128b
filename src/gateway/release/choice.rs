//! The version of the workers that may run a request, by the release of its service.

use std::rc::Rc;

use super::super::call_error::CallError;
use super::super::exchange::DEFAULT_RETRY_AFTER;
use super::super::exchange::refusal_error;
use super::super::host::GatewayHost;
use super::super::plan::PlannedCall;
use super::ReleaseTable;
use super::versions::ServiceVersions;
use crate::kernel::clock::ClockTime;
use crate::kernel::name::ServiceName;
use crate::kernel::name::WorkerVersion;
use crate::kernel::release::VersionSide;
use crate::kernel::release::split_hash;

/// The versions of workers that may run a request, and the one that is asked for.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(in super::super) enum VersionDemand {
    /// Any version.
    #[default]
    Any,
    /// One version: that of the stream that continues, or the target of a completed release.
    Only(WorkerVersion),
    /// The target of a release in progress, or any other version.
    Target(WorkerVersion),
    /// Any version but the target of a release; `None` if workers state none.
    Baseline {
        target: WorkerVersion,
        chosen: Option<WorkerVersion>,
    },
}

impl VersionDemand {
    /// Returns the version that the broker is asked for; `None` for any.
    pub(in super::super) const fn asked(&self) -> Option<&WorkerVersion> {
        match self {
            Self::Any => None,
            Self::Only(version) | Self::Target(version) => Some(version),
            Self::Baseline { chosen, .. } => chosen.as_ref(),
        }
    }

    /// Returns whether a worker of a version may run the request.
    pub(in super::super) fn allows(&self, version: Option<&WorkerVersion>) -> bool {
        match self {
            Self::Any | Self::Target(_) => true,
            Self::Only(required) => version == Some(required),
            Self::Baseline { target, .. } => version != Some(target),
        }
    }

    /// Returns whether the request goes to the target of a release in progress.
    pub(in super::super) const fn is_target(&self) -> bool {
        matches!(self, Self::Target(_))
    }
}

/// The side of one request, and the target of the release that decides on it.
struct SideChoice {
    side: VersionSide,
    target: WorkerVersion,
    is_final: bool,
}

impl ReleaseTable {
    /// Returns the side of a request with a hash; `None` if no release concerns its service.
    fn side(&self, now: ClockTime, service: &ServiceName, hash: u64) -> Option<SideChoice> {
        let order = self.order(service);
        let known = self.known.borrow();
        let known = known.get(service);
        let to_baseline = |target: &WorkerVersion| SideChoice {
            side: VersionSide::Baseline,
            target: target.clone(),
            is_final: false,
        };
        let Some(known) = known else {
            return order.map(|order| to_baseline(&order.target));
        };
        let state = known.state();
        match order {
            // Nothing was decided for the newest order yet.
            Some(order) if self.governing_state(&order).is_none() => {
                return Some(to_baseline(&order.target));
            }
            None if !state.phase.is_final() => return Some(to_baseline(&state.order.target)),
            _ => (),
        }
        Some(SideChoice {
            side: known.choose_side(now, hash),
            target: state.order.target.clone(),
            is_final: state.phase.is_final(),
        })
    }
}

impl GatewayHost {
    /// Returns the versions that may run a request now; `avoids_target` says that it failed at the
    /// target, or that the target has no worker.
    ///
    /// # Errors
    ///
    /// Returns an error if the request must not go to the target and no other worker is registered.
    pub(in super::super) fn version_demand(
        self: &Rc<Self>,
        planned: &PlannedCall,
        avoids_target: bool,
    ) -> Result<VersionDemand, CallError> {
        if !self.releases.is_active() {
            return Ok(VersionDemand::Any);
        }
        let service = &planned.service;
        let hash = split_hash(service, &planned.attempt_id);
        let now = self.clock.now();
        let Some(choice) = self.releases.side(now, service, hash) else {
            return Ok(VersionDemand::Any);
        };
        let versions = self.service_versions(service);
        let SideChoice {
            side,
            target,
            is_final,
        } = choice;
        if is_final {
            let has_other = match side {
                VersionSide::Target => versions.registered.has_other(&target),
                VersionSide::Baseline => versions.registered.has(&target),
            };
            return match side {
                _ if !has_other => Ok(VersionDemand::Any),
                VersionSide::Target => Ok(VersionDemand::Only(target)),
                VersionSide::Baseline => baseline_demand(&versions, target, hash),
            };
        }
        if side == VersionSide::Target && !avoids_target && versions.usable.has(&target) {
            return Ok(VersionDemand::Target(target));
        }
        baseline_demand(&versions, target, hash)
    }

    /// Waits until a request that asked for a version may not run there any more.
    pub(in super::super) async fn wait_until_forbidden(
        self: &Rc<Self>,
        planned: &PlannedCall,
        avoids_target: bool,
        asked: Option<&WorkerVersion>,
    ) {
        loop {
            let changed = self.releases.changed.notified();
            let demand = self.version_demand(planned, avoids_target);
            if demand.is_ok_and(|demand| !demand.allows(asked)) {
                return;
            }
            changed.await;
        }
    }
}

/// Returns the demand of a request that must not go to the target.
fn baseline_demand(
    versions: &ServiceVersions,
    target: WorkerVersion,
    hash: u64,
) -> Result<VersionDemand, CallError> {
    // The low bits of the hash don't decide on the side.
    let draw = hash & u64::from(u32::MAX);
    let usable = versions.usable.choose_except(&target, draw);
    let chosen = usable.or_else(|| versions.registered.choose_except(&target, draw));
    let chosen = chosen.ok_or_else(|| {
        let reason = "no worker of a version that may run the request is registered";
        refusal_error(reason, DEFAULT_RETRY_AFTER)
    })?;
    Ok(VersionDemand::Baseline { target, chosen })
}
