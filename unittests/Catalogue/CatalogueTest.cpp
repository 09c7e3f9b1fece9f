//===- unittests/Catalogue/CatalogueTest.cpp - entries and edits -----------===//
///
/// \file
/// Tests of parse errors, the base-version check, snapshots and log gaps.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Catalogue.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pistachioloom;

namespace {

std::string service(const std::string& name, int concurrency)
{
    return "name: " + name + "\nkind: service\nconcurrency: " + std::to_string(concurrency) + "\nrepeatable: true\n";
}

std::string edit(const std::string& id, const std::string& entry, std::uint64_t base, const std::string& text)
{
    return encodeEdit({ { id }, { entry }, { base }, text });
}

const std::string goodWorkload = "name: planograms\nkind: workload\nowner: rede\nclass: paid\napi_key_sha256: " + std::string(64, 'a')
    + "\nmodels: [planogram]\nlimits:\n  requests_in_progress: 8\n  latency_target: 720ms\n";

/// A valid entry in which a text is replaced, and the error that this causes.
struct BadEntry {
    std::string name_;
    std::string original_;
    std::string replacement_;
    std::string expectedError_;
};

} // namespace

TEST_CASE("a valid workload entry is parsed")
{
    InputErrors errors;
    auto entry = parseEntry(goodWorkload, "file", errors);
    REQUIRE(entry);
    CHECK(entry->workload_->limits_.requestsInProgress_ == 8);
    CHECK(entry->workload_->limits_.latencyTarget_ == milliseconds(720));
    CHECK(entry->workload_->class_ == ServiceClass::Paid);
}

TEST_CASE("an invalid entry is rejected with an error that states the line and field")
{
    auto bad = GENERATE(values<BadEntry>({
        { "unknown class", "class: paid", "class: gold", "file:4: class: expected one of paid trial, found 'gold'" },
        { "missing owner", "owner: rede\n", "", "file:1: owner: missing; expected text" },
        { "malformed hash of the API key", std::string(64, 'a'), "secret", "file:5: api_key_sha256: expected 64 lower-case hexadecimal digits" },
        { "value out of range", "requests_in_progress: 8", "requests_in_progress: 0", "file:8: limits.requests_in_progress: expected a whole number from 1 to 1000000, found '0'" },
        { "duration without a unit", "720ms", "720", "file:9: limits.latency_target: expected a duration such as 500ms, 2s, 10min or 1h, from 1ms to 86400000ms, found '720'" },
        { "unknown key", "owner:", "colour: red\nowner:", "file:3: colour: unknown key" },
        { "name with a space", "planograms", "two words", "file:1: name: expected 1 to 64 letters, digits, '-', '_' or '.'" },
        { "text in place of a list", "[planogram]", "planogram", "file:6: models: expected a list of texts" },
        { "malformed YAML", "models: [planogram]", "models: [", "file:8: (root): not valid YAML: " },
    }));
    INFO(bad.name_);
    std::string text = goodWorkload;
    text.replace(text.find(bad.original_), bad.original_.size(), bad.replacement_);
    InputErrors errors;
    CHECK_FALSE(parseEntry(text, "file", errors));
    REQUIRE(!errors.empty());
    CHECK(errors.front().toString().substr(0, bad.expectedError_.size()) == bad.expectedError_);
}

TEST_CASE("an engine entry has a target configuration and a paid reserve")
{
    const std::string good = "name: planogram\nkind: engine\nconcurrency: 16\npaid_reserve: 2\nhonours_fencing: true\nversion: v3\nadapters: [serra]\nrole: mixed\nmost_loading: 2\n";
    InputErrors errors;
    auto entry = parseEntry(good, "file", errors);
    REQUIRE(entry);
    CHECK(entry->backend_->configuration_ == EngineConfiguration { "v3", { "serra" }, "mixed" });
    CHECK(entry->backend_->maxLoading_ == 2);
    CHECK(entry->backend_->paidReserve_ == 2);
    auto bad = GENERATE(values<BadEntry>({
        { "adapters without a version", "version: v3\n", "", "file:1: version: expected the version that goes with 'adapters' and 'role'" },
        { "reserve of all slots", "paid_reserve: 2", "paid_reserve: 16", "file:4: paid_reserve: expected less than 'concurrency'" },
        { "no engine may be loading", "most_loading: 2", "most_loading: 0", "file:9: most_loading: expected a whole number from 1 to 1000, found '0'" },
    }));
    INFO(bad.name_);
    std::string text = good;
    text.replace(text.find(bad.original_), bad.original_.size(), bad.replacement_);
    CHECK_FALSE(parseEntry(text, "file", errors));
    REQUIRE(!errors.empty());
    CHECK(errors.front().toString() == bad.expectedError_);
}

TEST_CASE("of edits with the same base version only the first in the log is accepted")
{
    CatalogueState state;
    state.apply({ 0 }, edit("e1", "s", 0, service("s", 1)));
    state.apply({ 1 }, edit("e2", "s", 1, service("s", 2)));
    state.apply({ 2 }, edit("e3", "s", 1, service("s", 3)));
    CHECK(state.outcomeOf({ "e2" })->isAccepted_);
    CHECK_FALSE(state.outcomeOf({ "e3" })->isAccepted_);
    CHECK(state.outcomeOf({ "e3" })->currentVersion_ == LogOffset { 2 });
    CHECK(state.view().findEntry({ "s" })->backend_->concurrency_ == 2);
    CHECK(state.history().size() == 2);
}

TEST_CASE("an edit that is appended twice is applied once")
{
    CatalogueState state;
    state.apply({ 0 }, edit("e1", "s", 0, service("s", 1)));
    state.apply({ 1 }, edit("e1", "s", 0, service("s", 1)));
    CHECK(state.outcomeOf({ "e1" })->isAccepted_);
    CHECK(state.history().size() == 1);
}

TEST_CASE("an older record or snapshot does not replace a newer state")
{
    CatalogueState state;
    state.apply({ 0 }, edit("e1", "s", 0, service("s", 1)));
    std::string old = state.encodeSnapshot();
    state.apply({ 1 }, edit("e2", "s", 1, service("s", 2)));
    state.apply({ 0 }, edit("e9", "s", 0, service("s", 9)));
    CHECK_FALSE(state.adoptSnapshot(old));
    CHECK(state.view().findEntry({ "s" })->backend_->concurrency_ == 2);
    CHECK(state.nextOffset() == LogOffset { 2 });
}

TEST_CASE("the base version of a removed entry is 0")
{
    CatalogueState state;
    state.apply({ 0 }, edit("e1", "s", 0, service("s", 1)));
    state.apply({ 1 }, edit("e2", "s", 1, ""));
    CHECK_FALSE(state.view().findEntry({ "s" }));
    state.apply({ 2 }, edit("e3", "s", 1, service("s", 3)));
    CHECK_FALSE(state.outcomeOf({ "e3" })->isAccepted_);
    state.apply({ 3 }, edit("e4", "s", 0, service("s", 4)));
    CHECK(state.outcomeOf({ "e4" })->isAccepted_);
}

TEST_CASE("unknown and malformed records have no effect")
{
    CatalogueState state;
    auto record = GENERATE(values<std::string>({ "", "{", "[]", "{\"type\":\"new\"}", edit("e", "s", 0, "name: other\nkind: service\nconcurrency: 1\nrepeatable: true\n"), edit("e", "s", 0, "no entry") }));
    state.apply({ 0 }, record);
    CHECK(state.view().entries_.empty());
    CHECK(state.nextOffset() == LogOffset { 1 });
}

TEST_CASE("after a trim, a reader waits for a snapshot that covers the gap")
{
    CatalogueState writer;
    std::vector<std::string> log;
    auto append = [&](const std::string& record) {
        writer.apply({ log.size() }, record);
        log.push_back(record);
    };
    append(edit("e1", "a", 0, service("a", 1)));
    append(edit("e2", "b", 0, service("b", 2)));
    std::string snapshot = writer.encodeSnapshot();
    append(edit("e3", "a", 1, service("a", 3)));
    append(snapshot);
    append(edit("e4", "b", 2, service("b", 4)));

    struct Trim {
        /// The log's first offset after the trim.
        std::size_t first_;
        /// Whether the snapshot in the log covers the trimmed records.
        bool isCovered_;
    };
    auto trim = GENERATE(values<Trim>({ { 0, true }, { 1, true }, { 2, true }, { 3, false }, { 4, false } }));
    CatalogueState reader;
    for (std::size_t i = trim.first_; i < log.size(); ++i)
        reader.apply({ i }, log[i]);
    CHECK(reader.hasGap() == !trim.isCovered_);
    if (!trim.isCovered_) {
        CHECK(reader.view().entries_.empty());
        return;
    }
    CHECK(reader.view().findEntry({ "a" })->backend_->concurrency_ == 3);
    CHECK(reader.view().findEntry({ "b" })->backend_->concurrency_ == 4);
    CHECK(reader.outcomeOf({ "e1" })->isAccepted_);
}

TEST_CASE("readers of the same log reach the same state from any start offset")
{
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        std::mt19937_64 generator(seed);
        CatalogueState writer;
        std::vector<std::string> log;
        for (std::uint64_t i = 0; i < 60; ++i) {
            std::string name(1, static_cast<char>('a' + generator() % 4));
            auto current = writer.view().findEntry({ name });
            std::uint64_t base = current && generator() % 3 ? current->version_.value_ : generator() % 5;
            std::string record = generator() % 10 ? edit("e" + std::to_string(generator() % 50), name, base, generator() % 6 ? service(name, 1 + static_cast<int>(generator() % 9)) : "") : writer.encodeSnapshot();
            writer.apply({ log.size() }, record);
            log.push_back(record);
        }
        CatalogueState lateReader;
        std::size_t begin = generator() % 30;
        for (std::size_t i = begin; i < log.size(); ++i)
            lateReader.apply({ i }, log[i]);
        if (lateReader.hasGap())
            lateReader.adoptSnapshot(writer.encodeSnapshot());
        REQUIRE(lateReader.nextOffset() == writer.nextOffset());
        REQUIRE(lateReader.view().entries_.size() == writer.view().entries_.size());
        for (const auto& [name, entry] : writer.view().entries_) {
            REQUIRE(lateReader.view().findEntry(name)->version_ == entry->version_);
            REQUIRE(lateReader.view().findEntry(name)->text_ == entry->text_);
        }
    }
}
