#pragma once

namespace dandelioncrank {

/// Visitor built from lambdas, for std::visit.
template <class... Callables>
struct overloaded : Callables...
{
    using Callables::operator()...;
};

template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace dandelioncrank
