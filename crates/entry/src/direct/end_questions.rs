//! Questions to upstreams that seem to have ended: whether they live on.

use std::{sync, time};

use futures_util::{
    FutureExt as _,
    future::{BoxFuture, Shared},
};
use indexmap::IndexMap;
use pimentohook_core::crash_evidence::{RESTART_MIN, prompt};

/// Waits until a question is answered, by whatever it has changed.
pub type Answered = Shared<BoxFuture<'static, ()>>;

/// The questions that are under way, and those that were answered a short while ago.
#[derive(Debug, Default)]
pub struct Questions(sync::Mutex<IndexMap<prompt::EngineRun, Question>>);

/// A question to an upstream, which all requests wait for that need its answer.
#[derive(Debug)]
struct Question {
    /// From when on a connection could answer it.
    asked_from: time::Instant,
    answered: Answered,
}

impl Questions {
    /// Returns the question to an upstream, which `ask` asks if it is new. An upstream that didn't
    /// answer is not asked again unless one more connection to it has broken since.
    pub fn get_or_ask<A>(
        &self,
        run: prompt::EngineRun,
        asked_from: time::Instant,
        now: time::Instant,
        ask: A,
    ) -> Answered
    where
        A: Future<Output = ()> + Send + 'static,
    {
        let mut questions = self.0.lock().unwrap_or_else(sync::PoisonError::into_inner);
        questions
            .retain(|_, question| now.saturating_duration_since(question.asked_from) < RESTART_MIN);
        let is_current = |question: &&Question| {
            question.asked_from == asked_from || question.answered.peek().is_none()
        };
        if let Some(question) = questions.get(&run).filter(is_current) {
            return question.answered.clone();
        }
        // The others wait for it even if the request that asked is given up.
        let answered = tokio::spawn(ask).map(drop).boxed().shared();
        let question = Question {
            asked_from,
            answered: answered.clone(),
        };
        questions.insert(run, question);
        answered
    }
}
