//! Checks all orders of up to three sends against a model that knows what each upstream ran.

use pimentohook_core::{
    at_most_once::{self, NotRunEvidence, NotRunProof, Refusal},
    carried_ids::{CarriedIds, IdHash},
    routes::RepeatPolicy,
};
use rstest::rstest;

const SENDS_MAX: usize = 3;
const INSTANCES: [&str; SENDS_MAX] = ["runner-1", "runner-2", "runner-3"];

/// How a send ends, as the entry sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The permit is dropped.
    NotUsed,
    NotBuilt,
    Withdrawn,
    NotConnected,
    Unsent,
    MarkedRefusal,
    OtherInstance,
    Answer,
    ServerError,
    Broken,
    Foreign,
    TimedOut,
    /// The future of the attempt is dropped.
    Cancelled,
    /// The attempt is left for the next upstream.
    Moved,
    /// The attempt is neither ended nor dropped.
    Forgotten,
}

const OUTCOMES: [Outcome; 15] = [
    Outcome::NotUsed,
    Outcome::NotBuilt,
    Outcome::Withdrawn,
    Outcome::NotConnected,
    Outcome::Unsent,
    Outcome::MarkedRefusal,
    Outcome::OtherInstance,
    Outcome::Answer,
    Outcome::ServerError,
    Outcome::Broken,
    Outcome::Foreign,
    Outcome::TimedOut,
    Outcome::Cancelled,
    Outcome::Moved,
    Outcome::Forgotten,
];

/// What an upstream does with the request, which the entry is not told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Never,
    Ran,
    RunsLater,
}

impl Outcome {
    /// Returns what the upstream may have done.
    const fn deeds(self) -> &'static [Deed] {
        match self {
            Self::NotUsed
            | Self::NotBuilt
            | Self::Withdrawn
            | Self::NotConnected
            | Self::Unsent
            | Self::MarkedRefusal
            | Self::OtherInstance => &[Deed::Never],
            Self::Answer => &[Deed::Ran],
            Self::ServerError => &[Deed::Never, Deed::Ran],
            _ => &[Deed::Never, Deed::Ran, Deed::RunsLater],
        }
    }

    const fn is_certain(self) -> bool {
        matches!(self.deeds(), [Deed::Never])
    }

    /// Plays the outcome on a permit.
    fn play(self, permit: at_most_once::Permit<'_>) {
        let _ = match self {
            Self::NotUsed => return,
            Self::NotBuilt => permit.not_built(),
            Self::Withdrawn => permit.withdraw(),
            Self::NotConnected => {
                let proof = NotRunProof::unsent(at_most_once::Unsent::NotConnected);
                permit.send().not_run(proof)
            }
            Self::Unsent => {
                let proof = NotRunProof::unsent(at_most_once::Unsent::ClosedBeforeWrite);
                permit.send().not_run(proof)
            }
            Self::MarkedRefusal => permit.send().not_run(refused(Refusal::Marked)),
            Self::OtherInstance => permit.send().not_run(refused(Refusal::OtherInstance)),
            Self::Answer => return permit.send().answered(),
            Self::ServerError | Self::Broken | Self::Foreign | Self::TimedOut => {
                permit.send().in_doubt()
            }
            Self::Cancelled | Self::Moved => return drop(permit.send()),
            Self::Forgotten => return std::mem::forget(permit.send()),
        };
    }
}

/// Returns the proof of a refusal on a new connection.
fn refused(refusal: Refusal) -> NotRunProof {
    let first_send = CarriedIds::default().record(IdHash::new(1));
    NotRunProof::refused(refusal, first_send.expect("a new connection"))
}

/// One step of a request: a send under the rule that is in force then.
#[derive(Clone, Copy, Debug)]
struct Step {
    rule: at_most_once::RepeatRule,
    outcome: Outcome,
    deed: Deed,
}

fn rules() -> Vec<at_most_once::RepeatRule> {
    let rule = |policy, attempts_max| at_most_once::RepeatRule {
        policy,
        attempts_max,
    };
    vec![
        rule(RepeatPolicy::AtMostOnce, 1),
        rule(RepeatPolicy::AtMostOnce, 3),
        rule(RepeatPolicy::Idempotent, 1),
        rule(RepeatPolicy::Idempotent, 2),
        rule(RepeatPolicy::Idempotent, 3),
    ]
}

fn steps() -> Vec<Step> {
    let mut steps = Vec::new();
    for rule in rules() {
        for outcome in OUTCOMES {
            for &deed in outcome.deeds() {
                steps.push(Step {
                    rule,
                    outcome,
                    deed,
                });
            }
        }
    }
    steps
}

/// What the upstreams did, as nobody at the entry knows it.
#[derive(Debug, Default)]
struct Model {
    sent: Vec<Step>,
}

impl Model {
    fn run_count(&self) -> usize {
        self.sent
            .iter()
            .filter(|step| step.deed != Deed::Never)
            .count()
    }

    fn doubt_count(&self) -> usize {
        self.sent
            .iter()
            .filter(|step| !step.outcome.is_certain())
            .count()
    }

    fn is_answered(&self) -> bool {
        self.sent.iter().any(|step| step.outcome == Outcome::Answer)
    }

    /// Returns whether a further send breaks no rule, whatever the upstreams did.
    fn allows(&self, rule: at_most_once::RepeatRule) -> bool {
        if self.is_answered() {
            return false;
        }
        let doubt_count = self.doubt_count();
        let attempts_max = usize::try_from(rule.attempts_max).unwrap();
        doubt_count == 0 || (rule.policy == RepeatPolicy::Idempotent && doubt_count < attempts_max)
    }

    fn check_runs(&self) {
        let run_count = self.run_count();
        let is_once = |step: &Step| step.rule.policy == RepeatPolicy::AtMostOnce;
        assert!(run_count <= 1 || !self.sent.iter().all(is_once), "{self:?}");
        let attempts_max = self.sent.iter().map(|step| step.rule.attempts_max).max();
        let attempts_max = attempts_max.unwrap_or_default().max(1);
        assert!(
            run_count <= usize::try_from(attempts_max).unwrap(),
            "{self:?}"
        );
        let runs = self.sent.iter().rposition(|step| step.deed != Deed::Never);
        if let Some(last) = runs.filter(|_| run_count > 1) {
            assert!(!is_once(&self.sent[last]), "{self:?}");
        }
    }
}

/// Plays the steps in their order, as far as permits are given, and ends the request then, as a
/// shutdown or a deadline does.
fn play(steps: &[Step]) {
    let mut record = at_most_once::RunRecord::begin();
    let mut model = Model::default();
    for (step, instance) in steps.iter().zip(INSTANCES) {
        let is_allowed = model.allows(step.rule);
        assert_eq!(record.check(step.rule).is_ok(), is_allowed, "{steps:?}");
        let Ok(permit) = record.permit(instance, step.rule) else {
            assert!(!is_allowed, "{steps:?}");
            break;
        };
        assert!(is_allowed, "{steps:?}");
        step.outcome.play(permit);
        model.sent.push(*step);
        model.check_runs();
        let doubt_count = model.doubt_count();
        assert_eq!(usize::try_from(record.run_count()).unwrap(), doubt_count);
        assert_eq!(record.may_have_run(), doubt_count > 0, "{steps:?}");
    }
    assert_eq!(record.sent_to(), &INSTANCES[..model.sent.len()]);
    match record.settle() {
        Ok(promise) => {
            assert_eq!(model.run_count(), 0, "{steps:?}");
            assert_eq!(promise.sent_to().len(), model.sent.len());
        }
        // A promise that could be given is not withheld.
        Err(_) => assert!(model.doubt_count() > 0, "{steps:?}"),
    }
}

#[test]
fn no_order_of_sends_runs_twice_what_may_run_once_or_promises_what_may_run() {
    let steps = steps();
    play(&[]);
    for &first in &steps {
        play(&[first]);
        for &second in &steps {
            play(&[first, second]);
            for &third in &steps {
                play(&[first, second, third]);
            }
        }
    }
}

#[rstest]
#[case::dropped(Outcome::Cancelled, at_most_once::State::MayHaveRun)]
#[case::forgotten(Outcome::Forgotten, at_most_once::State::UnderWay)]
#[case::refused(
    Outcome::MarkedRefusal,
    at_most_once::State::NotRun(NotRunEvidence::Marked)
)]
#[case::withdrawn(
    Outcome::Withdrawn,
    at_most_once::State::NotRun(NotRunEvidence::Withdrawn)
)]
#[case::not_used(Outcome::NotUsed, at_most_once::State::NotSent)]
#[case::answered(Outcome::Answer, at_most_once::State::Answered)]
fn the_state_after_a_send(#[case] outcome: Outcome, #[case] expected: at_most_once::State) {
    let mut record = at_most_once::RunRecord::begin();
    let permit = record.permit(INSTANCES[0], rules()[0]).unwrap();
    outcome.play(permit);
    assert_eq!(record.state(), expected);
}

#[test]
fn a_policy_that_changes_while_a_send_is_under_way_decides_the_repeat() {
    let [once, .., many] = <[_; 5]>::try_from(rules()).unwrap();
    let mut record = at_most_once::RunRecord::begin();
    drop(record.permit(INSTANCES[0], many).unwrap().send());
    let error = record.permit(INSTANCES[1], once).unwrap_err();
    assert_eq!(error, at_most_once::NoPermit::Once);
}
