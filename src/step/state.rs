//! The slots of one step, with incrementally updated counts.

use std::sync::Arc;

use crate::{
    clock::Timestamp,
    ids::{AttemptNumber, GroupNumber, SampleIndex, Slot},
    step::{
        attach::{Attachment, HeldGroup},
        handover::{Handover, Partial},
        length::GroupLengths,
        slot::{Phase, SlotState},
        spec::{PromptGroup, StepSpec},
        staleness::Verdict,
        straggler::{SlotContext, can_hedge_ahead},
    },
    table::row::Row,
};

/// The index of a slot among all slots of its step.
pub type SlotIndex = usize;

/// Number of slots in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Slots without a running attempt or a sample.
    pub open: u32,
    /// Slots with running attempts.
    pub running: u32,
    /// Slots whose complete sample the trainer has not listed as held.
    pub ready: u32,
    /// Slots that the trainer holds.
    pub held: u32,
}

impl Counts {
    /// Returns the number of slots without a complete sample.
    pub fn unfinished(&self) -> u32 {
        self.open + self.running
    }

    fn count_mut(&mut self, phase: &Phase) -> &mut u32 {
        match phase {
            Phase::Open(_) => &mut self.open,
            Phase::Running(_) => &mut self.running,
            Phase::Ready(_) => &mut self.ready,
            Phase::Held => &mut self.held,
        }
    }
}

/// One group of a step.
#[derive(Clone, Debug)]
pub struct Group {
    /// What the trainer asked for.
    pub prompt: PromptGroup,
    /// The index of its first slot.
    pub first_slot: SlotIndex,
    /// Number of its slots without a complete sample.
    pub unfinished_count: u32,
    /// The lengths of its complete samples.
    pub lengths: GroupLengths,
}

/// One step that this host owns.
#[derive(Debug)]
pub struct Step {
    /// What the trainer asked for.
    pub spec: Arc<StepSpec>,
    /// The latest version of the trainer's row.
    pub row: Arc<Row>,
    /// The trainer's pulls.
    pub attachment: Attachment,
    /// Whether dispatch is suspended until the trainer pulls.
    pub is_dormant: bool,
    /// Number of hedge attempts that count against the budget.
    pub hedge_count: u32,
    /// When this host accepted the step.
    pub accepted_at: Timestamp,
    /// Since when a complete sample has been waiting for a pull.
    pub ready_since: Option<Timestamp>,
    /// When a reply last left no slot open.
    pub completed_at: Option<Timestamp>,
    /// The last verdict of the dispatch gate.
    pub verdict: Option<Verdict>,
    /// When the step was last checked for stragglers.
    pub checked_at: Timestamp,
    /// The slot index at which the next search for open slots starts.
    pub cursor: SlotIndex,
    groups: Vec<Group>,
    slots: Vec<SlotState>,
    counts: Counts,
}

impl Step {
    /// Creates a step from a spec that passed [`StepSpec::check`].
    pub fn new(spec: Arc<StepSpec>, row: Arc<Row>, now: Timestamp) -> Self {
        let mut prompts = spec.groups.clone();
        prompts.sort_by_key(|prompt| prompt.group);
        let mut groups = Vec::with_capacity(prompts.len());
        let mut first_slot = 0;
        for prompt in prompts {
            let sample_count = prompt.sample_count;
            groups.push(Group {
                prompt,
                first_slot,
                unfinished_count: sample_count,
                lengths: GroupLengths::default(),
            });
            first_slot += sample_count as usize;
        }
        Self {
            spec,
            row,
            attachment: Attachment::default(),
            is_dormant: false,
            hedge_count: 0,
            accepted_at: now,
            ready_since: None,
            completed_at: None,
            verdict: None,
            checked_at: now,
            cursor: 0,
            groups,
            slots: vec![SlotState::default(); first_slot],
            counts: Counts {
                open: u32::try_from(first_slot).unwrap_or(u32::MAX),
                ..Counts::default()
            },
        }
    }

    /// Returns the number of slots in each phase.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns all slots in index order.
    pub fn slots(&self) -> &[SlotState] {
        &self.slots
    }

    /// Returns the number of slots.
    pub fn slot_count(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Returns the group of a slot.
    pub fn group_of(&self, slot_index: SlotIndex) -> &Group {
        &self.groups[self.group_index(slot_index)]
    }

    /// Returns the id of a slot.
    pub fn slot_id(&self, slot_index: SlotIndex) -> Slot {
        let group = self.group_of(slot_index);
        Slot {
            trainer: Arc::clone(&self.spec.trainer),
            step: self.spec.step,
            group: group.prompt.group,
            index: u32::try_from(slot_index - group.first_slot).unwrap_or(u32::MAX),
        }
    }

    /// Returns the index of a slot, or `None` if the step has no such slot.
    pub fn find_slot(&self, group: GroupNumber, index: SampleIndex) -> Option<SlotIndex> {
        let group_index = self
            .groups
            .binary_search_by_key(&group, |known| known.prompt.group)
            .ok()?;
        let group = &self.groups[group_index];
        (index < group.prompt.sample_count).then_some(group.first_slot + index as usize)
    }

    /// Returns the state of the slot's group and step that decides its priority
    /// and hedging.
    pub fn slot_context(&self, slot_index: SlotIndex) -> SlotContext {
        SlotContext {
            is_pulled: self.attachment.pulled_at.is_some(),
            can_hedge_ahead: can_hedge_ahead(&self.row),
            group_unfinished_count: self.group_of(slot_index).unfinished_count,
            step_unfinished_count: self.counts.unfinished(),
            step_slot_count: self.slot_count(),
        }
    }

    /// Returns a slot for modification of anything but its phase; use
    /// [`Step::set_phase`] for that.
    pub fn slot_mut(&mut self, slot_index: SlotIndex) -> &mut SlotState {
        &mut self.slots[slot_index]
    }

    /// Moves a slot to `phase` and returns its previous phase.
    pub fn set_phase(&mut self, slot_index: SlotIndex, phase: Phase) -> Phase {
        let group = self.group_index(slot_index);
        let was_complete = is_complete(&self.slots[slot_index].phase);
        *self.counts.count_mut(&self.slots[slot_index].phase) -= 1;
        *self.counts.count_mut(&phase) += 1;
        match (was_complete, is_complete(&phase)) {
            (false, true) => self.groups[group].unfinished_count -= 1,
            (true, false) => self.groups[group].unfinished_count += 1,
            _ => {}
        }
        std::mem::replace(&mut self.slots[slot_index].phase, phase)
    }

    /// Adds the length of a complete sample to the statistics of its group.
    pub fn record_length(&mut self, slot_index: SlotIndex, tokens: u32) {
        let group = self.group_index(slot_index);
        self.groups[group].lengths.observe(tokens);
    }

    /// Applies the trainer's list of held slots, which is authoritative, and
    /// returns the running attempts that it makes unnecessary.
    ///
    /// A slot that was held before and is missing from the list is reopened:
    /// the trainer restarted and lost the sample.
    pub fn apply_held(&mut self, held: &[HeldGroup]) -> Vec<AttemptNumber> {
        let mut is_held = vec![false; self.slots.len()];
        for group in held {
            for &index in &group.indexes {
                if let Some(slot_index) = self.find_slot(group.group, index) {
                    is_held[slot_index] = true;
                }
            }
        }
        let mut unneeded = Vec::new();
        for (slot_index, is_held) in is_held.into_iter().enumerate() {
            let was_held = matches!(self.slots[slot_index].phase, Phase::Held);
            if is_held && !was_held {
                if let Phase::Running(running) = self.set_phase(slot_index, Phase::Held) {
                    unneeded.extend(running.attempts().map(|attempt| attempt.number));
                }
            } else if was_held && !is_held {
                self.set_phase(slot_index, Phase::Open(None));
            }
        }
        unneeded
    }

    /// Returns the indexes of slots with complete samples, those of the groups
    /// with the fewest unfinished slots first.
    pub fn ready_slots(&self) -> Vec<SlotIndex> {
        let mut ready: Vec<SlotIndex> = (0..self.slots.len())
            .filter(|&slot_index| matches!(self.slots[slot_index].phase, Phase::Ready(_)))
            .collect();
        ready.sort_by_key(|&slot_index| (self.group_of(slot_index).unfinished_count, slot_index));
        ready
    }

    /// Returns the numbers of all running attempts.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptNumber> {
        self.slots
            .iter()
            .filter_map(|slot| match &slot.phase {
                Phase::Running(running) => Some(running.attempts().map(|attempt| attempt.number)),
                _ => None,
            })
            .flatten()
    }

    /// Returns the state that saves the next owner work.
    pub fn to_handover(&self) -> Handover {
        let mut samples = Vec::new();
        let mut partials = Vec::new();
        for (slot_index, slot) in self.slots.iter().enumerate() {
            let proved = match &slot.phase {
                Phase::Ready(sample) => {
                    samples.push(Arc::clone(sample));
                    continue;
                }
                Phase::Open(Some(proved)) => proved.as_ref(),
                Phase::Running(running) => &running.primary.proved,
                Phase::Open(None) | Phase::Held => continue,
            };
            if !proved.tokens.is_empty() {
                let id = self.slot_id(slot_index);
                partials.push(Partial {
                    group: id.group,
                    index: id.index,
                    proved: proved.clone(),
                });
            }
        }
        Handover {
            spec: Arc::clone(&self.spec),
            attach: self.attachment.highest_attach,
            weight_version: self.attachment.weight_version,
            samples,
            partials,
        }
    }

    /// Merges the state from the previous owner; state that this host already
    /// has is kept.
    pub fn apply_handover(&mut self, handover: Handover) {
        if handover.attach > self.attachment.highest_attach {
            self.attachment.highest_attach = handover.attach;
            self.attachment.weight_version = handover.weight_version;
        }
        for sample in handover.samples {
            let slot = &sample.slot;
            let Some(slot_index) = self.find_slot(slot.group, slot.index) else {
                continue;
            };
            if matches!(self.slots[slot_index].phase, Phase::Open(_)) {
                self.record_length(slot_index, sample.token_count());
                self.set_phase(slot_index, Phase::Ready(sample));
            }
        }
        for partial in handover.partials {
            let Some(slot_index) = self.find_slot(partial.group, partial.index) else {
                continue;
            };
            if matches!(self.slots[slot_index].phase, Phase::Open(None)) {
                self.set_phase(slot_index, Phase::Open(Some(Box::new(partial.proved))));
            }
        }
    }

    fn group_index(&self, slot_index: SlotIndex) -> usize {
        self.groups
            .partition_point(|group| group.first_slot <= slot_index)
            - 1
    }
}

fn is_complete(phase: &Phase) -> bool {
    matches!(phase, Phase::Ready(_) | Phase::Held)
}
