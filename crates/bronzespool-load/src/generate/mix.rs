//! Mix of requests: kinds weighted as given, teams by their declared rates.

use {
    bronzespool::core::{Config, Mode, Service},
    std::time::Duration,
};

/// Requests of one kind by one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTemplate {
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Name of the calling team.
    pub team: String,
    /// Whether requests of the kind need an idempotency key.
    pub protected: bool,
    /// Longest wait of the caller.
    pub deadline: Duration,
}

/// Request templates with their weights.
#[derive(Clone, Debug, Default)]
pub struct RequestMix {
    templates: Vec<RequestTemplate>,
    cumulative_weights: Vec<u64>,
}

impl RequestMix {
    /// Mix of the request kinds of `service`. The weight of a kind and team is the weight of the
    /// kind in `weights` times the rate of the team. Kinds without a weight and kinds that are jobs
    /// are left out; deadlines are cut to `deadline`.
    pub fn from_config(
        config: &Config,
        service: &Service,
        weights: &[(&str, u32)],
        deadline: Duration,
    ) -> Self {
        let mut mix = Self::default();
        let Some(spec) = config.services.get(service) else {
            return mix;
        };
        for (kind, kind_spec) in &spec.kinds {
            let weight = weights.iter().find(|(name, _)| *name == kind.as_str());
            let Some((_, weight)) = weight.filter(|_| kind_spec.mode == Mode::Request) else {
                continue;
            };
            for (team, team_spec) in &spec.teams {
                let template = RequestTemplate {
                    service: service.to_string(),
                    kind: kind.to_string(),
                    team: team.to_string(),
                    protected: kind_spec.protected,
                    deadline: kind_spec.deadline.min(deadline),
                };
                mix.push(template, *weight * team_spec.rate);
            }
        }
        mix
    }

    /// The same mix with the templates of one team only.
    #[must_use]
    pub fn for_team(&self, team: &str) -> Self {
        let mut mix = Self::default();
        let mut previous = 0;
        for (template, end) in self.templates.iter().zip(&self.cumulative_weights) {
            if template.team == team {
                mix.push(template.clone(), u32::try_from(end - previous).unwrap_or(u32::MAX));
            }
            previous = *end;
        }
        mix
    }

    /// The same mix with the templates of one kind only.
    #[must_use]
    pub fn for_kind(&self, kind: &str) -> Self {
        let mut mix = Self::default();
        let mut previous = 0;
        for (template, end) in self.templates.iter().zip(&self.cumulative_weights) {
            if template.kind == kind {
                mix.push(template.clone(), u32::try_from(end - previous).unwrap_or(u32::MAX));
            }
            previous = *end;
        }
        mix
    }

    /// Adds a template with its weight.
    pub fn push(&mut self, template: RequestTemplate, weight: u32) {
        self.templates.push(template);
        self.cumulative_weights.push(self.total() + u64::from(weight));
    }

    /// All templates, in the order of addition.
    pub fn templates(&self) -> &[RequestTemplate] {
        &self.templates
    }

    /// Picks a random template by weight; `None` if the total weight is zero.
    pub fn pick(&self, rng: &mut fastrand::Rng) -> Option<&RequestTemplate> {
        let total = self.total();
        if total == 0 {
            return None;
        }
        let point = rng.u64(..total);
        let index = self.cumulative_weights.partition_point(|end| *end <= point);
        self.templates.get(index)
    }

    fn total(&self) -> u64 {
        self.cumulative_weights.last().copied().unwrap_or_default()
    }
}
