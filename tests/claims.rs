//! Claims against a stand-in of the platform, with lost answers, an outage and dropped claims.

use std::net::SocketAddr;

use actix_rt::System;
use awc::Client;
use borageladder::claims::ClaimError;
use borageladder::claims::ClaimOutcome;
use borageladder::claims::ClaimService;
use borageladder::claims::HeldClaim;
use borageladder::claims::StoredAnswer;
use borageladder::claims::StoredHeader;
use borageladder::kernel::claim::ContentDigest;
use borageladder::kernel::claim::SettleError;
use borageladder::kernel::claim::Settlement;
use borageladder::kernel::name::RequestId;
use borageladder::kernel::name::WorkspaceName;
use borageladder::platform::PlatformClient;
use borageladder::platform::PlatformTimeouts;
use borageladder_standin::control::FaultCommand;
use borageladder_standin::hosts::HostListing;
use borageladder_standin::platform::PlatformService;
use serde_json::Value;
use yare::parameterized;

/// The platform's stand-in and the claim services of two hosts.
struct ClaimFixture {
    platform: SocketAddr,
    first: ClaimService,
    second: ClaimService,
}

impl ClaimFixture {
    fn start() -> Self {
        let address = "127.0.0.1:0".parse().unwrap();
        let platform = PlatformService::start(address, HostListing::default()).unwrap();
        let service = |host: &str| {
            let client = PlatformClient::new(platform, PlatformTimeouts::default());
            ClaimService::new(client, host.parse().unwrap())
        };
        Self {
            platform,
            first: service("host-1"),
            second: service("host-2"),
        }
    }

    async fn control(&self, command: FaultCommand) {
        let url = format!("http://{}/control", self.platform);
        let response = Client::default().post(url).send_json(&command).await;
        assert!(response.unwrap().status().is_success());
    }

    async fn lose_answers(&self, count: u32) {
        let command = FaultCommand {
            lose_replies: Some(count),
            ..FaultCommand::default()
        };
        self.control(command).await;
    }

    async fn set_down(&self, down: bool) {
        let command = FaultCommand {
            down: Some(down),
            ..FaultCommand::default()
        };
        self.control(command).await;
    }
}

fn workspace() -> WorkspaceName {
    "union-7".parse().unwrap()
}

async fn claim(service: &ClaimService, content: u64) -> Result<ClaimOutcome, ClaimError> {
    let request = RequestId {
        incarnation: 1,
        sequence: 1,
    };
    let content = ContentDigest(content);
    service
        .claim(&workspace(), "filing-1", request, content)
        .await
}

async fn hold(service: &ClaimService) -> HeldClaim {
    match claim(service, 1).await {
        Ok(ClaimOutcome::Held(held)) => held,
        other => panic!("{other:?} holds no claim"),
    }
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![StoredHeader {
            name: "content-type".to_owned(),
            value: "text/plain".to_owned(),
        }],
        body: "filed\n1".into(),
    }
}

macro_rules! assert_outcome {
    ($outcome:expr, $pattern:pat) => {
        let outcome = $outcome.await;
        assert!(matches!(outcome, $pattern), "{outcome:?}");
    };
}

#[parameterized(no_loss = { 0 }, one_loss = { 1 }, two_losses = { 2 })]
fn one_host_holds_the_claim_and_a_repeat_gets_its_answer(losses: u32) {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        fixture.lose_answers(losses).await;
        let held = hold(&fixture.first).await;
        assert_outcome!(claim(&fixture.second, 1), Ok(ClaimOutcome::InProgress(_)));

        fixture.lose_answers(losses.min(1)).await;
        let dispatched = held.dispatch();
        // The lost answer is that of the object store, which is written before the table.
        let recorded = fixture
            .first
            .record_answer(dispatched, &stored_answer())
            .await;
        assert_eq!(recorded.is_err(), losses > 0);
        if losses > 0 {
            assert_outcome!(claim(&fixture.first, 1), Ok(ClaimOutcome::Answered(_)));
        }
        match claim(&fixture.second, 1).await {
            Ok(ClaimOutcome::Answered(answer)) => assert_eq!(answer, stored_answer()),
            other => panic!("{other:?} is not the answer"),
        }
        assert_outcome!(claim(&fixture.second, 2), Ok(ClaimOutcome::Mismatch));
        assert_eq!(fixture.first.pending_count(), 0);
    });
}

#[parameterized(no_loss = { 0 }, one_loss = { 1 })]
fn a_released_claim_can_be_taken_again(losses: u32) {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        for _ in 0..2 {
            let held = hold(&fixture.first).await;
            fixture.lose_answers(losses).await;
            fixture.first.release_claim(held).await.unwrap();
        }
        let held = hold(&fixture.second).await;
        assert_outcome!(claim(&fixture.first, 1), Ok(ClaimOutcome::InProgress(_)));
        fixture.second.release_claim(held).await.unwrap();
    });
}

#[test]
fn no_claim_is_taken_during_an_outage() {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        fixture.set_down(true).await;
        assert_outcome!(claim(&fixture.first, 1), Err(ClaimError::Unavailable));
        fixture.set_down(false).await;
        let held = hold(&fixture.first).await;
        assert_eq!(fixture.first.pending_count(), 0);
        fixture.set_down(true).await;
        assert_outcome!(
            fixture.first.release_claim(held),
            Err(ClaimError::NotRecorded)
        );
        fixture.set_down(false).await;
        let held = hold(&fixture.first).await;
        fixture.first.release_claim(held).await.unwrap();
    });
}

#[test]
fn an_unreadable_stored_answer_is_reported_as_an_error() {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        let dispatched = hold(&fixture.first).await.dispatch();
        fixture
            .first
            .record_answer(dispatched, &stored_answer())
            .await
            .unwrap();
        for (down, found) in [(true, false), (false, true)] {
            let command = FaultCommand {
                objects_down: Some(down),
                ..FaultCommand::default()
            };
            fixture.control(command).await;
            let outcome = claim(&fixture.second, 1).await;
            let answered = matches!(outcome, Ok(ClaimOutcome::Answered(_)));
            assert_eq!(answered, found, "{outcome:?}");
            assert_eq!(matches!(outcome, Err(ClaimError::Answer(_))), down);
        }
        let client = PlatformClient::new(fixture.platform, PlatformTimeouts::default());
        let rows = client.rows("claims/", "", 1).await.unwrap();
        let row: Value = serde_json::from_str(&rows[0].value).unwrap();
        let object = row["object"].as_str().unwrap();
        client.put_object(object, "cut".into()).await.unwrap();
        assert_outcome!(claim(&fixture.second, 1), Err(ClaimError::Answer(_)));
        let url = format!("http://{}/objects/{object}", fixture.platform);
        Client::default().delete(url).send().await.unwrap();
        assert_outcome!(claim(&fixture.second, 1), Err(ClaimError::Answer(_)));
    });
}

#[test]
fn a_dropped_claim_is_released() {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        drop(hold(&fixture.first).await);
        let held = hold(&fixture.first).await;
        fixture.first.release_claim(held).await.unwrap();
        drop(hold(&fixture.second).await.dispatch());
        assert_outcome!(claim(&fixture.second, 1), Ok(ClaimOutcome::Unknown(_)));
    });
}

#[test]
fn operators_settle_an_unknown_outcome_and_an_audit_record_is_written() {
    System::new().block_on(async {
        let fixture = ClaimFixture::start();
        let operator = "aiko".parse().unwrap();
        let settle = |settlement| {
            let service = &fixture.second;
            let operator = &operator;
            async move {
                let workspace = workspace();
                let key = "filing-1";
                service.settle(&workspace, key, settlement, operator).await
            }
        };
        assert_outcome!(settle(Settlement::Ran), Err(ClaimError::NoClaim));
        let held = hold(&fixture.first).await;
        assert_outcome!(
            settle(Settlement::NotRun),
            Err(ClaimError::Settle(SettleError::HolderMayRun { .. }))
        );
        fixture.first.record_unknown(held.dispatch()).await.unwrap();
        assert_outcome!(claim(&fixture.second, 1), Ok(ClaimOutcome::Unknown(_)));

        fixture.lose_answers(1).await;
        let audit = settle(Settlement::NotRun).await.unwrap();
        assert_eq!(audit.operator, operator);
        let held = hold(&fixture.second).await;
        fixture
            .second
            .record_unknown(held.dispatch())
            .await
            .unwrap();
        settle(Settlement::Ran).await.unwrap();
        assert_outcome!(claim(&fixture.first, 1), Ok(ClaimOutcome::Answered(_)));
        assert_outcome!(
            settle(Settlement::NotRun),
            Err(ClaimError::Settle(SettleError::Known))
        );

        let client = PlatformClient::new(fixture.platform, PlatformTimeouts::default());
        let records = client.rows("audit/claims/union-7/", "", 10).await.unwrap();
        assert_eq!(records.len(), 2);
    });
}
