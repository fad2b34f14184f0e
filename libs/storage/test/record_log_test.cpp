#include "dandelioncrank/storage/data_directory.hpp"
#include "dandelioncrank/storage/record_log.hpp"
#include "dandelioncrank/storage/storage_error.hpp"

#include <QFile>
#include <QTemporaryDir>

#include <catch2/catch.hpp>

#include <cerrno>

using namespace dandelioncrank;

namespace {

struct sample_log
{
    sample_log()
    {
        record_log log(file(), disk_calls::system());
        for (const char* text : {"one", "two", "three"}) {
            log.append(text);
            log.sync();
        }
    }

    std::string file() const
    {
        return directory_.filePath("log").toStdString();
    }
    QByteArray read() const
    {
        QFile source(directory_.filePath("log"));
        REQUIRE(source.open(QIODevice::ReadOnly));
        return source.readAll();
    }
    void write(const QByteArray& bytes) const
    {
        QFile target(directory_.filePath("log"));
        REQUIRE(target.open(QIODevice::WriteOnly | QIODevice::Truncate));
        target.write(bytes);
    }

    QTemporaryDir directory_;
};

} // namespace

TEST_CASE("records are read back in order", "[record_log]")
{
    sample_log sample;
    record_log log(sample.file(), disk_calls::system());
    CHECK(log.records() == std::vector<QByteArray>{"one", "two", "three"});
    CHECK(log.recovery().torn_bytes_ == 0);
}

TEST_CASE("a torn write of any length is truncated", "[record_log]")
{
    sample_log sample;
    QByteArray contents = sample.read();
    QByteArray last = record_log::encode_record("three");
    for (qsizetype cut = 1; cut < last.size(); ++cut) {
        sample.write(contents.left(contents.size() - cut));
        {
            record_log log(sample.file(), disk_calls::system());
            CHECK(log.records().size() == 2);
            CHECK(log.recovery().torn_bytes_ ==
                  static_cast<std::uint64_t>(last.size() - cut));
            log.append("next");
            log.sync();
        }
        record_log again(sample.file(), disk_calls::system());
        CHECK(again.records() == std::vector<QByteArray>{"one", "two", "next"});
    }
}

TEST_CASE("corruption before a valid record reports file and offset",
          "[record_log]")
{
    sample_log sample;
    QByteArray contents = sample.read();
    qsizetype second = record_log::encode_record("one").size();
    qsizetype third = second + record_log::encode_record("two").size();
    for (qsizetype at = second; at < third; ++at) {
        QByteArray corrupted = contents;
        corrupted[at] = static_cast<char>(corrupted[at] ^ 0x40);
        sample.write(corrupted);
        try {
            record_log log(sample.file(), disk_calls::system());
            FAIL("corruption at byte " << at << " was not detected");
        } catch (const storage_error& error) {
            CHECK(error.offset() == static_cast<std::uint64_t>(second));
            CHECK(error.file() == sample.file());
        }
    }
}

TEST_CASE("a log rejects all writes after a full disk or a failed sync",
          "[record_log]")
{
    QTemporaryDir directory;
    std::string file = directory.filePath("log").toStdString();
    bool full = GENERATE(true, false);
    bool failing = true;
    disk_calls calls = disk_calls::system();
    if (full) {
        calls.write_ = [&](int descriptor, const void* bytes,
                           std::size_t size) -> ssize_t {
            if (!failing)
                return disk_calls::system().write_(descriptor, bytes, size);
            errno = ENOSPC;
            return -1;
        };
    } else {
        calls.sync_ = [&](int descriptor) {
            if (!failing)
                return disk_calls::system().sync_(descriptor);
            errno = EIO;
            return -1;
        };
    }
    record_log log(file, calls);
    log.append("x");
    CHECK_THROWS_AS(log.sync(), storage_error);
    failing = false;
    log.append("y");
    CHECK_THROWS_AS(log.sync(), storage_error);
}

TEST_CASE("two processes cannot share a data directory", "[record_log]")
{
    QTemporaryDir directory;
    data_directory first(directory.path().toStdString());
    CHECK_THROWS_AS(data_directory(directory.path().toStdString()),
                    storage_error);
}
