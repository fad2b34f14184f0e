#include "dandelioncrank/pool/occurrence_table.hpp"

#include <catch2/catch.hpp>

using namespace dandelioncrank;
using namespace dandelioncrank::pool;

namespace {

std::vector<step_spec> one_step()
{
    step_spec step;
    step.count_ = 2;
    return {step};
}

void finish(occurrence_record& record)
{
    for (task_record& task : record.steps_[0].tasks_) {
        task.run_ = 1;
        task.is_done_ = true;
    }
}

} // namespace

TEST_CASE("only occurrences under way have records", "[occurrence_table]")
{
    occurrence_table table;
    CHECK(table.records().empty());
    CHECK(table.unstarted(5, 3) == std::vector<std::uint32_t>{0, 1, 2});
    finish(table.open(2, one_step()));
    table.open(0, one_step());
    CHECK(table.close_if_done(2));
    CHECK(!table.close_if_done(0));
    CHECK(table.records().size() == 1);
    CHECK(table.unstarted(5, 9) == std::vector<std::uint32_t>{1, 3, 4});
    finish(table.at(0));
    CHECK(table.close_if_done(0));
    finish(table.open(1, one_step()));
    CHECK(table.is_done(1));
    CHECK(table.are_done(3));
    CHECK(!table.are_done(4));
}

TEST_CASE("an occurrence with runs keeps its record", "[occurrence_table]")
{
    occurrence_table table;
    occurrence_record& record = table.open(0, one_step());
    finish(record);
    record.steps_[0].running_ = 1;
    CHECK(!table.close_if_done(0));
    CHECK(table.have_runs());
    CHECK(table.are_done(1));
}

// Jobs that an earlier build accepted must not start again what is done.
TEST_CASE("the occurrences of an earlier build are taken over",
          "[occurrence_table]")
{
    std::vector<occurrence_record> all(4);
    for (occurrence_record& item : all) {
        item.steps_.resize(1);
        item.steps_[0].tasks_.resize(2);
    }
    finish(all[0]);
    finish(all[2]);
    all[1].steps_[0].tasks_[0].run_ = 3;
    occurrence_table table;
    table.adopt(all);
    CHECK(table.is_done(0));
    CHECK(table.is_done(2));
    CHECK(table.at(1).steps_[0].tasks_[0].run_ == 3);
    CHECK(table.unstarted(4, 9) == std::vector<std::uint32_t>{3});
}
