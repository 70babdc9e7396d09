/** @file budget_base.h Retry budget: retries stay a bounded share of the
 * requests, also when everything fails. */

#ifndef CUMINVANE_BASE_BUDGET_BASE_H_
#define CUMINVANE_BASE_BUDGET_BASE_H_

#include <algorithm>

namespace cuminvane {

/** Every request earns a part of a retry; every retry spends a whole one. */
class RetryBudget {
 public:
  /** @param percent Retries allowed per hundred requests. */
  explicit RetryBudget(int percent) : percent(percent) {}

  /** Counts a request. */
  void AddRequest() {
    this->credit = std::min(this->credit + this->percent, kMostCredit);
  }

  /** @return Whether one retry is allowed; it is then spent. */
  bool TrySpendRetry() {
    if (this->credit < kRetryCost)
      return false;
    this->credit -= kRetryCost;
    return true;
  }

 private:
  static constexpr int kRetryCost = 100;
  static constexpr int kMostCredit = 10 * kRetryCost;  ///< A burst of ten.

  int percent;
  int credit = kMostCredit;
};

}  // namespace cuminvane

#endif  // CUMINVANE_BASE_BUDGET_BASE_H_
