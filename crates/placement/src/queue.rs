//! The order in which jobs wait.

use crate::view::JobView;
use types::{JobClass, JobId, SortedMap, TeamName, Timestamp};

/// Work of a job with no deadline is wanted this long after its submission.
const PATIENCE: std::time::Duration = std::time::Duration::from_secs(24 * 3_600);

/// The order within one queue: latest start first, then order of arrival.
pub(crate) type Key = (Timestamp, JobId);

/// Jobs sorted by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Line(Vec<Key>);

impl Line {
    fn insert(&mut self, key: Key) {
        if let Err(i) = self.0.binary_search(&key) {
            self.0.insert(i, key);
        }
    }

    fn remove(&mut self, key: &Key) {
        if let Ok(i) = self.0.binary_search(key) {
            self.0.remove(i);
        }
    }

    pub(crate) fn get(&self, i: usize) -> Option<Key> {
        self.0.get(i).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Key> + '_ {
        self.0.iter().copied()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Where a job waits.
#[derive(Clone, Debug, PartialEq)]
enum Place {
    Urgent(Key),
    Service(Key),
    Team(TeamName, Key),
}

/// All waiting jobs: urgent ones, services, and the others by team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pub(crate) urgent: Line,
    pub(crate) services: Line,
    pub(crate) teams: SortedMap<TeamName, Line>,
    places: SortedMap<JobId, Place>,
}

impl Queue {
    /// Puts a job where it belongs; `latest_start` is when it must start to meet its deadline.
    pub(crate) fn put(&mut self, job: &JobView, latest_start: Option<Timestamp>) {
        let arrival = (job.submitted, job.id);
        let place = if job.urgent {
            Place::Urgent(arrival)
        } else if job.class == JobClass::Service {
            Place::Service(arrival)
        } else {
            let wanted = latest_start.unwrap_or(job.submitted + PATIENCE);
            Place::Team(job.team.clone(), (wanted, job.id))
        };
        if self.places.get(&job.id) == Some(&place) {
            return;
        }
        self.remove(job.id);
        match &place {
            Place::Urgent(key) => self.urgent.insert(*key),
            Place::Service(key) => self.services.insert(*key),
            Place::Team(team, key) => {
                self.teams.get_or_insert_with(team.clone(), Line::default).insert(*key)
            }
        }
        self.places.insert(job.id, place);
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        match self.places.remove(&id) {
            Some(Place::Urgent(key)) => self.urgent.remove(&key),
            Some(Place::Service(key)) => self.services.remove(&key),
            Some(Place::Team(team, key)) => {
                let Some(line) = self.teams.get_mut(&team) else { return };
                line.remove(&key);
                if line.is_empty() {
                    self.teams.remove(&team);
                }
            }
            None => {}
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }
}
