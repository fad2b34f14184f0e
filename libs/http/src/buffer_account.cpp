#include "dandelioncrank/http/buffer_account.hpp"

#include <algorithm>

namespace dandelioncrank {

buffer_account::buffer_account(buffer_budget& budget) : budget_(&budget)
{
    budget_->accounts_.insert(this);
}

buffer_account::~buffer_account()
{
    close();
}

void buffer_account::close()
{
    if (budget_ == nullptr)
        return;
    buffered_bytes_ = 0;
    release_reservation();
    if (charged_bytes_ > 0)
        budget_->charge(*this);
    budget_->accounts_.erase(this);
    budget_ = nullptr;
}

std::size_t buffer_account::needed_bytes() const
{
    return std::max(buffered_bytes_, reserved_bytes_);
}

void buffer_account::set_buffered(std::size_t bytes)
{
    buffered_bytes_ = bytes;
    if (budget_ != nullptr && needed_bytes() != charged_bytes_)
        budget_->charge(*this);
}

bool buffer_account::reserve(std::size_t bytes, instant now)
{
    last_progress_ = now;
    return budget_ != nullptr && budget_->reserve(*this, bytes);
}

void buffer_account::release_reservation()
{
    if (budget_ == nullptr)
        return;
    if (wanted_bytes_ > 0)
        budget_->waiting_.remove(this);
    wanted_bytes_ = 0;
    if (reserved_bytes_ == 0)
        return;
    reserved_bytes_ = 0;
    --budget_->reservations_;
    budget_->charge(*this);
}

} // namespace dandelioncrank
