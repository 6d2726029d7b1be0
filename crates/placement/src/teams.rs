//! What each team holds and how it stands against the others.

use types::{Resources, SortedMap, TeamName, TeamQuota};

#[derive(Clone, Debug)]
pub(crate) struct Team {
    pub(crate) held: Resources,
    weight: f64,
    limit: f64,
}

impl Default for Team {
    fn default() -> Team {
        Team { held: Resources::default(), weight: 1.0, limit: 1.0 }
    }
}

/// All teams that hold or want something.
#[derive(Clone, Debug, Default)]
pub(crate) struct Teams(SortedMap<TeamName, Team>);

impl Teams {
    pub(crate) fn set_quotas<'a, I>(&mut self, quotas: I)
    where
        I: IntoIterator<Item = &'a TeamQuota>,
    {
        for team in self.0.values_mut() {
            (team.weight, team.limit) = (1.0, 1.0);
        }
        for quota in quotas {
            let team = self.0.get_or_insert_with(quota.team.clone(), Team::default);
            (team.weight, team.limit) = (quota.weight, quota.limit);
        }
    }

    pub(crate) fn hold(&mut self, team: &str, resources: &Resources) {
        let team = self.entry(team);
        team.held = team.held.checked_add(resources).unwrap_or(team.held);
    }

    pub(crate) fn let_go(&mut self, team: &str, resources: &Resources) {
        let team = self.entry(team);
        team.held = team.held.saturating_sub(resources);
    }

    /// Share of the whole by the team's weight.
    pub(crate) fn weighted_share(&self, team: &str, whole: &Resources) -> f64 {
        self.0.get(team).map_or(0.0, |t| t.held.dominant_share(whole) / t.weight)
    }

    /// How many more tasks the team's limit allows, up to `wanted`.
    pub(crate) fn allowed(
        &self,
        team: &str,
        task: &Resources,
        wanted: u32,
        whole: &Resources,
    ) -> u32 {
        let Some(team) = self.0.get(team) else { return wanted };
        if team.limit >= 1.0 {
            return wanted;
        }
        let within = |count: u32| {
            let sum = team.held.checked_add(&task.saturating_mul(count));
            sum.is_some_and(|sum| sum.dominant_share(whole) <= team.limit)
        };
        // The largest count that stays within the limit.
        let (mut low, mut high) = (0, wanted);
        while low < high {
            let middle = low + (high - low).div_ceil(2);
            if within(middle) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        low
    }

    fn entry(&mut self, team: &str) -> &mut Team {
        self.0.get_or_insert_with(team.to_string(), Team::default)
    }
}
