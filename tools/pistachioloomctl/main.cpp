//===- tools/pistachioloomctl/main.cpp - the command line tool ------------===//
///
/// \file
/// Runs operator commands through the operator port of any node.
//===----------------------------------------------------------------------===//
#include "Client.h"
#include "Render.h"
#include "pistachioloom/Json.h"
#include "pistachioloom/Yaml.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace pistachioloom;
namespace json = boost::json;

namespace {

constexpr int exitInvalid = 1;
constexpr int exitRejected = 2;
constexpr int exitConflict = 3;
constexpr int exitOutcomeUnknown = 4;
constexpr int exitUnreachable = 5;

struct Options {
    std::string node_ = "127.0.0.1:7003";
    std::string credential_;
    std::int64_t timeoutMs_ = 10000;
    bool isJson_ = false;
    std::string file_;
    std::string name_;
    std::string request_;
    std::string service_;
    std::string notice_;
    std::string promptPart_;
    std::string length_ = "10min";
    std::optional<std::uint64_t> base_;
    bool queriesAllNodes_ = false;
};

/// Prints \p error to stderr. \returns the exit code for it.
int reportError(const Error& error)
{
    std::cerr << "error: " << describe(error) << '\n';
    if (error.ran_ == Ran::Unknown)
        return exitOutcomeUnknown;
    return error.code_ == Errc::Unavailable || error.code_ == Errc::Timeout ? exitUnreachable : exitRejected;
}

std::optional<std::string> readFile(const std::string& file)
{
    std::ifstream input(file);
    if (!input)
        return std::nullopt;
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
}

/// Splits a file of several entries at lines that consist of three dashes.
std::vector<std::string> splitDocuments(const std::string& text)
{
    std::vector<std::string> documents { "" };
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line == "---")
            documents.emplace_back();
        else
            documents.back() += line + "\n";
    }
    std::erase_if(documents, [](const std::string& document) { return document.find_first_not_of(" \n\t") == std::string::npos; });
    return documents;
}

int applyFile(const OperatorClient& client, const Options& options)
{
    auto text = readFile(options.file_);
    if (!text) {
        std::cerr << "error: " << options.file_ << " cannot be read\n";
        return exitRejected;
    }
    // All entries are validated before the first is sent.
    std::vector<std::pair<std::string, std::string>> entries;
    InputErrors errors;
    for (const std::string& document : splitDocuments(*text)) {
        if (auto entry = parseEntry(document, options.file_, errors))
            entries.emplace_back(entry->name_.value_, document);
    }
    for (const InputError& error : errors)
        std::cerr << error.toString() << '\n';
    if (!errors.empty())
        return exitRejected;
    for (const auto& [name, body] : entries) {
        auto applied = applyEntry(client, name, body, options.base_);
        if (!applied)
            return reportError(applied.error());
        if (!applied.value().isAccepted_) {
            std::cerr << name << ": conflicts with version " << applied.value().version_ << '\n';
            return exitConflict;
        }
        std::cout << name << ": accepted as version " << applied.value().version_ << '\n';
    }
    return 0;
}

int removeEntry(const OperatorClient& client, const Options& options)
{
    auto applied = applyEntry(client, options.name_, "", options.base_);
    if (!applied)
        return reportError(applied.error());
    std::cout << options.name_ << (applied.value().isAccepted_ ? ": removed\n" : ": conflicts with version " + std::to_string(applied.value().version_) + "\n");
    return applied.value().isAccepted_ ? 0 : exitConflict;
}

int getEntry(const OperatorClient& client, const Options& options)
{
    auto entry = client.getJson("/catalogue/" + options.name_);
    if (!entry)
        return reportError(entry.error());
    if (options.isJson_)
        std::cout << json::serialize(entry.value()) << '\n';
    else
        std::cout << "# version " << numberField(entry.value().as_object(), "version") << '\n'
                  << textField(entry.value().as_object(), "body");
    return 0;
}

int diffEntry(const OperatorClient& client, const Options& options)
{
    auto text = readFile(options.file_);
    InputErrors errors;
    auto wanted = text ? parseEntry(*text, options.file_, errors) : std::nullopt;
    if (!wanted) {
        std::cerr << "error: " << (errors.empty() ? options.file_ + " cannot be read" : errors.front().toString()) << '\n';
        return exitRejected;
    }
    auto entry = client.getJson("/catalogue/" + wanted->name_.value_);
    std::string current = entry ? textField(entry.value().as_object(), "body") : std::string();
    std::set<std::string> before;
    std::set<std::string> after;
    std::istringstream oldLines(current);
    std::istringstream newLines(*text);
    for (std::string line; std::getline(oldLines, line);)
        before.insert(line);
    for (std::string line; std::getline(newLines, line);)
        after.insert(line);
    for (const std::string& line : before) {
        if (!after.contains(line))
            std::cout << "- " << line << '\n';
    }
    for (const std::string& line : after) {
        if (!before.contains(line))
            std::cout << "+ " << line << '\n';
    }
    return 0;
}

/// Collects the rows of a listing from one node, or from every node that it lists. A
/// response is an array of rows, or an object whose \p field holds them. In an object, the
/// value of \p sourceField is added to each row, unless \p sourceField is empty. Prints a
/// warning for each node that fails, and skips it.
Result<std::vector<json::object>> collectRows(const OperatorClient& client, const std::string& target, const std::string& field, const std::string& sourceField, bool queriesAllNodes)
{
    std::vector<OperatorClient> nodes { client };
    if (queriesAllNodes) {
        auto all = client.allNodes();
        if (!all)
            return all.error();
        nodes = std::move(all.value());
    }
    std::vector<json::object> rows;
    for (const OperatorClient& node : nodes) {
        auto listed = node.getJson(target);
        if (!listed) {
            std::cerr << "warning: " << describe(listed.error()) << '\n';
            continue;
        }
        if (listed.value().is_array()) {
            for (const json::value& row : listed.value().as_array())
                rows.push_back(row.as_object());
            continue;
        }
        for (json::object& row : objectsField(listed.value().as_object(), field.c_str())) {
            if (!sourceField.empty())
                row[sourceField] = textField(listed.value().as_object(), sourceField.c_str());
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

int printListing(const OperatorClient& client, const Options& options, const std::string& target, const std::string& field, const std::string& sourceField, const std::vector<std::string>& columns)
{
    auto rows = collectRows(client, target, field, sourceField, options.queriesAllNodes_);
    if (!rows)
        return reportError(rows.error());
    if (options.isJson_) {
        json::array array;
        for (json::object& row : rows.value())
            array.push_back(std::move(row));
        std::cout << json::serialize(array) << '\n';
        return 0;
    }
    std::cout << renderTable(rows.value(), columns);
    return 0;
}

int trace(const OperatorClient& client, const Options& options)
{
    auto nodes = client.allNodes();
    if (!nodes)
        return reportError(nodes.error());
    std::vector<json::object> spans;
    for (const OperatorClient& node : nodes.value()) {
        auto response = node.call("GET", "/traces/" + options.request_);
        if (!response) {
            std::cerr << "warning: " << describe(response.error()) << '\n';
            continue;
        }
        std::istringstream lines(response.value().body_);
        for (std::string line; std::getline(lines, line);) {
            if (auto span = parseJsonObject(line))
                spans.push_back(std::move(*span));
        }
    }
    if (!options.isJson_) {
        std::cout << renderTrace(spans);
        return spans.empty() ? exitRejected : 0;
    }
    for (const json::object& span : spans)
        std::cout << json::serialize(span) << '\n';
    return spans.empty() ? exitRejected : 0;
}

int explain(const OperatorClient& client, const Options& options)
{
    auto nodes = client.allNodes();
    if (!nodes)
        return reportError(nodes.error());
    for (const OperatorClient& node : nodes.value()) {
        auto explanation = node.getJson("/explain/" + options.request_);
        if (!explanation || !explanation.value().is_array())
            continue;
        if (options.isJson_) {
            std::cout << json::serialize(explanation.value()) << '\n';
            return 0;
        }
        std::vector<json::object> rows;
        for (const json::value& row : explanation.value().as_array())
            rows.push_back(row.as_object());
        std::cout << renderTable(rows, { "engine", "home", "estimate_ms", "free_slots", "queued", "sent_since", "prefix_rank", "local", "price_per_hour" });
        return 0;
    }
    std::cerr << "error: no node has a record of request " << options.request_ << '\n';
    return exitRejected;
}

int liftQuarantine(const OperatorClient& client, const Options& options)
{
    const std::string target = "/quarantine/" + options.request_;
    auto response = client.call("DELETE", target);
    if (!response)
        return reportError(response.error());
    if (response.value().status_ != 200)
        return reportError(errorFromResponse(response.value(), "DELETE " + target, client.node().toString()));
    std::cout << options.request_ << ": lifted\n";
    return 0;
}

int orderQuarantine(const OperatorClient& client, const Options& options)
{
    auto length = parseDuration(options.length_);
    bool namesOne = options.request_.empty() != (options.service_.empty() && options.promptPart_.empty());
    if (!length || !namesOne || options.service_.empty() != options.promptPart_.empty()) {
        std::cerr << "error: expected either --request, or --service and --prompt-part, and a duration such as 10min in --for\n";
        return exitInvalid;
    }
    json::object body { { "for_ms", length->count() } };
    if (options.request_.empty()) {
        body["service"] = options.service_;
        body["prompt_part"] = options.promptPart_;
    } else
        body["request"] = options.request_;
    auto response = client.call("POST", "/quarantine", json::serialize(body));
    if (!response)
        return reportError(response.error());
    if (response.value().status_ != 200)
        return reportError(errorFromResponse(response.value(), "POST /quarantine", client.node().toString()));
    auto answer = parseJsonObject(response.value().body_);
    std::cout << (answer ? textField(*answer, "request") : "") << ": quarantined\n";
    return 0;
}

int revertRollout(const OperatorClient& client, const Options& options)
{
    const std::string target = "/rollouts/" + options.service_;
    auto response = client.call("DELETE", target);
    if (!response)
        return reportError(response.error());
    if (response.value().status_ != 200)
        return reportError(errorFromResponse(response.value(), "DELETE " + target, client.node().toString()));
    std::cout << options.service_ << ": reverted\n";
    return 0;
}

int drain(const OperatorClient& client, const Options& options)
{
    auto response = client.call("POST", "/drain?notice=" + options.notice_);
    if (!response)
        return reportError(response.error());
    std::cout << client.node().toString() << " is draining\n";
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    CLI::App app { "pistachioloomctl operates a pistachioloom deployment through any of its nodes." };
    app.require_subcommand(1);
    app.add_option("--node", options.node_, "Operator address of a node, as IP:PORT")->envname("PISTACHIOLOOM_NODE")->capture_default_str();
    app.add_option("--credential", options.credential_, "Operator credential")->envname("PISTACHIOLOOM_CREDENTIAL");
    app.add_option("--timeout-ms", options.timeoutMs_, "Maximum time to wait for each response, in milliseconds")->capture_default_str();
    app.footer("Exit codes: 0 success, 1 invalid options, 2 rejected, 3 conflict, 4 outcome unknown, 5 node unreachable.\n"
               "Example: pistachioloomctl --node 10.0.0.4:7003 catalogue apply entries.yaml");
    int code = 0;
    auto client = [&] {
        std::size_t colon = options.node_.rfind(':');
        Endpoint endpoint { options.node_.substr(0, colon), colon == std::string::npos ? std::uint16_t { 0 } : static_cast<std::uint16_t>(std::strtoul(options.node_.c_str() + colon + 1, nullptr, 10)) };
        return OperatorClient(endpoint, options.credential_, milliseconds(options.timeoutMs_));
    };
    auto addJson = [&](CLI::App* command) {
        command->add_flag("--json", options.isJson_, "Print JSON");
        return command;
    };

    auto* catalogue = app.add_subcommand("catalogue", "Change and show the catalogue");
    catalogue->require_subcommand(1);
    auto* apply = catalogue->add_subcommand("apply", "Apply the entries of a file, separated by lines of ---");
    apply->add_option("file", options.file_, "YAML file")->required();
    apply->add_option("--base", options.base_, "Version that the change is based on (default: the current version)");
    apply->footer("Example: pistachioloomctl catalogue apply planograms.yaml --base 41");
    apply->callback([&] { code = applyFile(client(), options); });
    auto* get = addJson(catalogue->add_subcommand("get", "Show one entry"));
    get->add_option("name", options.name_, "Entry name")->required();
    get->footer("Example: pistachioloomctl catalogue get planograms");
    get->callback([&] { code = getEntry(client(), options); });
    auto* remove = catalogue->add_subcommand("remove", "Remove one entry");
    remove->add_option("name", options.name_, "Entry name")->required();
    remove->add_option("--base", options.base_, "Version that the change is based on (default: the current version)");
    remove->footer("Example: pistachioloomctl catalogue remove trial-7");
    remove->callback([&] { code = removeEntry(client(), options); });
    auto* listEntries = addJson(catalogue->add_subcommand("list", "List the entries"));
    listEntries->footer("Example: pistachioloomctl catalogue list --json");
    listEntries->callback([&] { code = printListing(client(), options, "/catalogue", "entries", "", { "name", "kind", "owner", "class", "version" }); });
    auto* history = addJson(catalogue->add_subcommand("history", "List accepted changes, oldest first"));
    history->footer("Example: pistachioloomctl catalogue history");
    history->callback([&] { code = printListing(client(), options, "/history", "", "", { "entry", "version", "edit", "removed" }); });
    auto* diff = catalogue->add_subcommand("diff", "Show the lines that differ between a file and the entry in force");
    diff->add_option("file", options.file_, "YAML file of one entry")->required();
    diff->footer("Example: pistachioloomctl catalogue diff planograms.yaml");
    diff->callback([&] { code = diffEntry(client(), options); });

    auto* nodes = addJson(app.add_subcommand("nodes", "List the nodes as the contacted node sees them"));
    nodes->footer("Example: pistachioloomctl nodes");
    nodes->callback([&] { code = printListing(client(), options, "/nodes", "nodes", "", { "node", "data_centre", "state", "leaving", "catalogue_offset", "operator" }); });
    auto* engines = addJson(app.add_subcommand("engines", "List engines and services with their dispatchers"));
    engines->footer("Example: pistachioloomctl engines");
    engines->callback([&] {
        options.queriesAllNodes_ = true;
        code = printListing(client(), options, "/engines", "engines", "home", { "engine", "data_centre", "home", "active", "free_slots", "queued", "wait_ms", "version", "wanted", "order" });
    });
    auto* requests = addJson(app.add_subcommand("requests", "List generations with their owners"));
    requests->footer("Example: pistachioloomctl requests --json");
    requests->callback([&] {
        options.queriesAllNodes_ = true;
        code = printListing(client(), options, "/requests", "requests", "owner", { "request", "entry", "model", "owner", "replica", "engine", "tokens", "over" });
    });
    auto* quarantine = app.add_subcommand("quarantine", "Manage requests and prompt parts that crashed backend servers; --node is the metrics address of a gateway");
    quarantine->require_subcommand(1);
    auto* listSuspects = addJson(quarantine->add_subcommand("list", "List them with the evidence, quarantined ones and most crashes first"));
    listSuspects->footer("Example: pistachioloomctl --node 10.0.0.4:7501 quarantine list");
    listSuspects->callback([&] { code = printListing(client(), options, "/quarantine", "requests", "", { "request", "kind", "crashes", "sound", "last_crash_ms", "left_ms", "on_trial", "by_order" }); });
    auto* orderCommand = quarantine->add_subcommand("add", "Quarantine a prompt part or a request for a time, on all nodes");
    orderCommand->add_option("--service", options.service_, "Service that gets requests with the prompt part");
    orderCommand->add_option("--prompt-part", options.promptPart_, "Id of the prompt part, as callers send it");
    orderCommand->add_option("--request", options.request_, "Request hash of 16 hexadecimal digits, from the list or a log line");
    orderCommand->add_option("--for", options.length_, "Length of the quarantine")->capture_default_str();
    orderCommand->footer("Example: pistachioloomctl --node 10.0.0.4:7501 --credential WORD quarantine add --service vobo15a --prompt-part 4d75da899745 --for 30min");
    orderCommand->callback([&] { code = orderQuarantine(client(), options); });
    auto* liftCommand = quarantine->add_subcommand("lift", "Allow a quarantined request or prompt part again, on all nodes");
    liftCommand->add_option("request", options.request_, "Hash of 16 hexadecimal digits, from the list or a log line")->required();
    liftCommand->footer("Example: pistachioloomctl --node 10.0.0.4:7501 --credential WORD quarantine lift ab2906c5a5dab86a");
    liftCommand->callback([&] { code = liftQuarantine(client(), options); });
    auto* rollout = app.add_subcommand("rollout", "Manage roll-outs of service versions; --node is the metrics address of a gateway");
    rollout->require_subcommand(1);
    auto* listRollouts = addJson(rollout->add_subcommand("list", "List the newest roll-out order of each service, with the counts that it is evaluated by"));
    listRollouts->footer("Example: pistachioloomctl --node 10.0.0.4:7501 rollout list");
    listRollouts->callback([&] { code = printListing(client(), options, "/rollouts", "rollouts", "", { "service", "target", "phase", "share", "requests", "exposed", "target_side", "other_side", "why" }); });
    auto* revertCommand = rollout->add_subcommand("revert", "Revert a roll-out: its version receives no more requests, on all nodes");
    revertCommand->add_option("service", options.service_, "Service name, from the list")->required();
    revertCommand->footer("Example: pistachioloomctl --node 10.0.0.4:7501 --credential WORD rollout revert huvo11a");
    revertCommand->callback([&] { code = revertRollout(client(), options); });
    auto* limits = addJson(app.add_subcommand("limits", "List the share of each entry's limits that each node holds"));
    limits->footer("Example: pistachioloomctl limits");
    limits->callback([&] {
        options.queriesAllNodes_ = true;
        code = printListing(client(), options, "/limits", "entries", "node", { "entry", "node", "in_progress", "held", "share_of_data_centre", "keeper" });
    });
    auto* drainCommand = app.add_subcommand("drain", "Drain and stop the node");
    drainCommand->add_option("--notice", options.notice_, "Time until the node must stop, such as 30s; without it the node waits for its requests to finish");
    drainCommand->footer("Example: pistachioloomctl --node 10.0.0.4:7003 drain --notice 30s");
    drainCommand->callback([&] { code = drain(client(), options); });
    auto* explainCommand = addJson(app.add_subcommand("explain", "Show the candidates from which the engine of a request was chosen"));
    explainCommand->add_option("request", options.request_, "Request id")->required();
    explainCommand->footer("Example: pistachioloomctl explain 0b9c...");
    explainCommand->callback([&] { code = explain(client(), options); });
    auto* traceCommand = addJson(app.add_subcommand("trace", "Show the spans of a request as a tree"));
    traceCommand->add_option("request", options.request_, "Request id")->required();
    traceCommand->footer("Example: pistachioloomctl trace 0b9c...");
    traceCommand->callback([&] { code = trace(client(), options); });

    CLI11_PARSE(app, argc, argv);
    return code;
}
