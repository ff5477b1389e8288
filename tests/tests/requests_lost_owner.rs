//! A proxy asks for a slot while the owner of the slots does not respond.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use bambooseam_config::WorkClass;
use bambooseam_proxy::slots::{Lease, Refusal, SlotFinder, SlotRequest, SlotSource, WorkOutcome};
use bambooseam_types::TargetId;
use tokio::time::{Instant, sleep};

/// Queue limit of a service in the tests of requests.
const QUEUE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time after which a proxy gives up a call to an owner.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// What an owner does with one request for a slot.
#[derive(Debug, Clone, Copy)]
enum Answer {
    /// Does not respond within the timeout.
    Lost,
    /// Refuses the request, and names the expected wait.
    Refused(Duration),
    /// Grants a slot.
    Granted,
}

/// Owners that answer the requests in the order of a script; the last answer is repeated.
struct ScriptedOwner(Mutex<VecDeque<Answer>>);

/// A slot of [`ScriptedOwner`].
#[derive(Debug)]
struct Slot(TargetId);

impl ScriptedOwner {
    fn new(answers: impl IntoIterator<Item = Answer>) -> Self {
        Self(Mutex::new(answers.into_iter().collect()))
    }

    fn next(&self) -> Answer {
        let mut answers = self.0.lock().expect("no test panics here");
        match answers.len() {
            1 => answers[0],
            _ => answers.pop_front().expect("a script has an answer"),
        }
    }
}

impl SlotSource for ScriptedOwner {
    type Lease = Slot;

    async fn acquire(&self, _: SlotRequest) -> Result<Slot, Refusal> {
        match self.next() {
            Answer::Lost => {
                sleep(RESPONSE_TIMEOUT).await;
                Err(Refusal::lost_owner())
            }
            Answer::Refused(wait) => Err(Refusal::new(wait)),
            Answer::Granted => Ok(Slot("t1".parse().expect("a valid id"))),
        }
    }
}

impl Lease for Slot {
    fn target(&self) -> &TargetId {
        &self.0
    }

    fn finish(self, _: WorkOutcome) {}
}

/// Asks the owners for a slot; returns the result and the time that it took.
async fn find(owners: Vec<ScriptedOwner>) -> (Result<Slot, Refusal>, Duration) {
    let request = SlotRequest {
        class: WorkClass::Short,
        waited: Duration::ZERO,
        may_wait: true,
        owners: 1,
        is_remote: false,
        avoid: Vec::new(),
        service_time: Duration::ZERO,
        short_fraction: None,
    };
    let begun = Instant::now();
    let result = SlotFinder::new(owners).find(request, QUEUE_LIMIT).await;
    (result, begun.elapsed())
}

#[tokio::test(start_paused = true)]
async fn owner_that_responds_late_once_is_no_reason_to_refuse() {
    let owner = ScriptedOwner::new([Answer::Lost, Answer::Granted]);
    let (result, _) = find(vec![owner]).await;
    assert!(result.is_ok(), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn owners_of_all_zones_that_respond_late_once_are_no_reason_to_refuse() {
    let owner = || ScriptedOwner::new([Answer::Lost, Answer::Granted]);
    let (result, _) = find(vec![owner(), owner(), owner()]).await;
    assert!(result.is_ok(), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn successor_without_capacity_refuses_at_once() {
    let refused = Answer::Refused(Duration::from_secs(3));
    let owner = ScriptedOwner::new([Answer::Lost, refused]);
    let (result, time) = find(vec![owner]).await;
    let refusal = result.expect_err("the successor has no capacity");
    assert_eq!(refusal.wait, Duration::from_secs(3));
    assert!(time <= RESPONSE_TIMEOUT, "refused after {time:?}");
}

#[tokio::test(start_paused = true)]
async fn slot_is_searched_within_the_queue_limit_when_no_owner_responds() {
    let owner = || ScriptedOwner::new([Answer::Lost]);
    let (result, time) = find(vec![owner(), owner(), owner()]).await;
    assert!(result.is_err(), "{result:?}");
    assert!(time <= QUEUE_LIMIT, "refused after {time:?}");
}
