//! Filters and their composition, without dynamic dispatch.

use bronzespool::core::Refusal;

/// Result of a filter.
pub(in crate::entry) type Result<T> = std::result::Result<T, Refusal>;

/// One step of the filter chain.
pub(in crate::entry) trait Filter<In> {
    /// Input of the next filter.
    type Output;

    /// Checks the input and extends it, or refuses it. A refusal means that nothing was started.
    async fn apply(&self, input: In) -> Result<Self::Output>;
}

/// Two filters in sequence.
pub(in crate::entry) struct Chain<A, B>(pub(in crate::entry) A, pub(in crate::entry) B);

impl<In, A, B> Filter<In> for Chain<A, B>
where
    A: Filter<In>,
    B: Filter<A::Output>,
{
    type Output = B::Output;

    async fn apply(&self, input: In) -> Result<Self::Output> {
        self.1.apply(self.0.apply(input).await?).await
    }
}
