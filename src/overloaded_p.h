// Combines several lambdas into one visitor for std::visit.

#ifndef MAGNOLIAARCH_SRC_OVERLOADED_P_H_
#define MAGNOLIAARCH_SRC_OVERLOADED_P_H_

namespace magnoliaarch {

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace magnoliaarch

#endif  // MAGNOLIAARCH_SRC_OVERLOADED_P_H_
