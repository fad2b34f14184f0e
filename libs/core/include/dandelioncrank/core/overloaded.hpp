#pragma once

namespace dandelioncrank {

/// Combines lambdas into one visitor for std::visit.
template <class... Callables>
struct overloaded : Callables...
{
    using Callables::operator()...;
};

template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace dandelioncrank
