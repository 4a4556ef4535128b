//! Asks and workers of the simulated cells.

use std::time::Duration;

use borageladder_kernel::ask::Ask;
use borageladder_kernel::ask::CellWorker;
use borageladder_kernel::name::RequestId;
use borageladder_kernel::name::TierRank;

const MODEL: &str = "drafter-8b";

/// Returns an ask for a short answer with a deadline of 12 s.
pub(crate) fn short_ask(request: RequestId) -> Ask {
    Ask {
        request,
        service: "drafter".parse().expect("a valid name"),
        model: Some(MODEL.parse().expect("a valid name")),
        version: None,
        workspace: "union".parse().expect("a valid name"),
        tier: TierRank(0),
        budget: Duration::from_secs(12),
        first_token_target: Some(Duration::from_millis(1_200)),
        token_gap_target: None,
        prompt_tokens: 200,
        max_answer_tokens: 40,
        hinted_tokens: None,
        prefix: Vec::new(),
        suspect: false,
        hedged_worker: None,
    }
}

/// Returns the workers `engine-0` and following, with ten slots each.
pub(crate) fn engines(count: usize) -> Vec<CellWorker> {
    let engine = |number| CellWorker {
        worker: format!("engine-{number}").parse().expect("a valid name"),
        models: vec![MODEL.parse().expect("a valid name")],
        version: None,
        max_running: 10,
        location: None,
    };
    (0..count).map(engine).collect()
}
