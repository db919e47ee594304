//! The interface that all controllers implement.

use crate::{
    clock::Timestamp,
    control::{blackboard::Blackboard, decision::Decision},
};

/// The seeded random number generator of the controllers.
pub type Rng = rand_chacha::ChaCha8Rng;

/// The context of one round of a controller, besides its events.
///
/// A controller may read any section of the blackboard, and writes only the one
/// it owns. It does no I/O, reads no clock and holds no lock, so that each
/// round can be replayed (see docs/ARCHITECTURE.md).
#[derive(Debug)]
pub struct Round<'a> {
    /// The blackboard, of which the controller writes only its own section.
    pub board: &'a mut Blackboard,
    /// The time of this round.
    pub now: Timestamp,
    /// The only source of randomness.
    pub rng: &'a mut Rng,
    /// Receives the records of what the controller decided and why.
    pub decisions: &'a mut Vec<Decision>,
}

/// A component that decides on actions from events and the blackboard.
pub trait Controller {
    /// An input from outside, received since the last round.
    type Event;
    /// An action for the code that does I/O.
    type Action;

    /// The name of the controller in logs and decision records.
    const NAME: &'static str;

    /// Runs one round over the events since the last one.
    ///
    /// A round without events only advances the time, so that deadlines take
    /// effect.
    fn run(
        &mut self,
        events: impl IntoIterator<Item = Self::Event>,
        round: Round<'_>,
    ) -> Vec<Self::Action>;
}
