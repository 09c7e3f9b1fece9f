//===- lib/Membership/VmList.cpp - the platform's VM list ------------------===//
///
/// \file
/// Parsing, versioning and indexing of the list, and the table of leaving VMs.
//===----------------------------------------------------------------------===//
#include "pistachioloom/Membership.h"

#include "pistachioloom/Json.h"
#include <algorithm>

namespace pistachioloom {

namespace json = boost::json;

namespace {

    // Number of recent versions that a store keeps. A peer at one of them is sent only
    // the differences; a peer at an older one is sent the full list.
    constexpr std::size_t maxSeenVersions = 1024;

    std::optional<Vm::Kind> kindFrom(const std::string& name)
    {
        if (name == "entry")
            return Vm::Kind::Entry;
        if (name == "engine")
            return Vm::Kind::ModelEngine;
        if (name == "service")
            return Vm::Kind::Service;
        return std::nullopt;
    }

    std::optional<Vm> parseVm(const json::object& object)
    {
        auto kind = kindFrom(textField(object, "kind"));
        Vm vm;
        vm.id_ = { textField(object, "id") };
        if (!kind || vm.id_.isEmpty())
            return std::nullopt;
        vm.kind_ = *kind;
        vm.state_ = textField(object, "state") == "leaving" ? Vm::State::Leaving : Vm::State::Live;
        vm.dataCentre_ = { textField(object, "data_centre") };
        vm.region_ = { textField(object, "region") };
        vm.host_ = textField(object, "host");
        vm.port_ = static_cast<std::uint16_t>(numberField(object, "port"));
        vm.operatorPort_ = static_cast<std::uint16_t>(numberField(object, "operator_port"));
        vm.callerPort_ = static_cast<std::uint16_t>(numberField(object, "caller_port"));
        vm.isReclaimable_ = textField(object, "price_class") == "reclaimable";
        vm.pricePerHour_ = numberField(object, "price_per_hour");
        if (const json::array* serves = arrayField(object, "serves")) {
            for (const json::value& name : *serves) {
                if (name.is_string())
                    vm.serves_.emplace_back(name.as_string());
            }
        }
        return vm;
    }

} // namespace

bool Vm::doesServe(std::string_view name) const
{
    return std::find(serves_.begin(), serves_.end(), name) != serves_.end();
}

std::optional<VmList> parseVmList(const std::string& text)
{
    auto object = parseJsonObject(text);
    if (!object || !arrayField(*object, "vms"))
        return std::nullopt;
    VmList list;
    list.version_ = numberField(*object, "version");
    for (const json::object& item : objectsField(*object, "vms")) {
        if (auto vm = parseVm(item))
            list.vms_.push_back(std::move(*vm));
    }
    return list;
}

void VmListStore::put(const std::string& text, std::uint64_t version)
{
    auto object = parseJsonObject(text);
    auto vm = object ? parseVm(*object) : std::nullopt;
    if (!vm)
        return;
    removed_.erase(vm->id_);
    StoredVm& stored = storedVms_[vm->id_];
    if (stored.json_ == text)
        return;
    stored = { text, std::move(*vm), version };
}

void VmListStore::remove(const VmId& vm, std::uint64_t version)
{
    storedVms_.erase(vm);
    removed_[vm] = version;
}

bool VmListStore::adoptList(const std::string& json)
{
    auto object = parseJsonObject(json);
    if (!object || !arrayField(*object, "vms"))
        return false;
    std::uint64_t version = numberField(*object, "version");
    if (version <= version_)
        return false;
    VmListChanges fullList { version, 0, {}, {}, 0 };
    for (const json::object& item : objectsField(*object, "vms"))
        fullList.changed_.push_back(json::serialize(item));
    return adoptChanges(fullList);
}

bool VmListStore::adoptChanges(const VmListChanges& changes)
{
    if (changes.version_ <= version_ || (changes.base_ && changes.base_ != version_))
        return false;
    std::set<VmId> removed;
    if (!changes.base_) {
        for (const auto& [id, stored] : storedVms_)
            removed.insert(id);
    }
    for (const std::string& text : changes.changed_) {
        put(text, changes.version_);
        if (auto object = parseJsonObject(text))
            removed.erase({ textField(*object, "id") });
    }
    removed.insert(changes.removed_.begin(), changes.removed_.end());
    for (const VmId& vm : removed)
        remove(vm, changes.version_);
    if (changes.hash_ && changes.hash_ != hash()) {
        version_ = 0;
        seenVersions_.clear();
        return true;
    }
    version_ = changes.version_;
    seenVersions_.insert(version_);
    if (seenVersions_.size() > maxSeenVersions)
        forgetOldestVersion();
    return true;
}

void VmListStore::forgetOldestVersion()
{
    seenVersions_.erase(seenVersions_.begin());
    std::erase_if(removed_, [&](const auto& item) { return item.second <= *seenVersions_.begin(); });
}

VmListChanges VmListStore::changesSince(std::uint64_t version) const
{
    VmListChanges changes { version_, version, {}, {}, hash() };
    if (!seenVersions_.contains(version))
        changes.base_ = 0;
    for (const auto& [id, stored] : storedVms_) {
        if (!changes.base_ || stored.changedVersion_ > version)
            changes.changed_.push_back(stored.json_);
    }
    if (!changes.base_)
        return changes;
    for (const auto& [id, removedVersion] : removed_) {
        if (removedVersion > version)
            changes.removed_.push_back(id);
    }
    return changes;
}

std::uint64_t VmListStore::hash() const
{
    std::uint64_t hash = 0;
    for (const auto& [id, stored] : storedVms_)
        hash ^= stableHash(stored.json_);
    return hash;
}

VmList VmListStore::list() const
{
    VmList list { version_, {} };
    for (const auto& [id, stored] : storedVms_)
        list.vms_.push_back(stored.vm_);
    return list;
}

std::shared_ptr<const VmIndex> indexVmList(const VmList& list)
{
    auto index = std::make_shared<VmIndex>();
    index->version_ = list.version_;
    for (const Vm& vm : list.vms_) {
        index->vms_[vm.id_] = vm;
        if (vm.kind_ == Vm::Kind::Entry)
            index->entryVms_[vm.dataCentre_].push_back(vm.id_);
        for (const std::string& name : vm.serves_)
            index->serversByName_[name].push_back(vm.id_);
    }
    return index;
}

bool LeavingTable::markLeaving(const VmId& vm, std::optional<SteadyTime> stopsAt, SteadyTime now)
{
    auto [position, isNew] = leaving_.emplace(vm, Leaving { stopsAt, now });
    if (isNew)
        return true;
    auto& knownStop = position->second.stopsAt_;
    if (!stopsAt || knownStop)
        return false;
    knownStop = stopsAt;
    return true;
}

std::optional<SteadyTime> LeavingTable::stopsAt(const VmId& vm) const
{
    auto found = leaving_.find(vm);
    return found == leaving_.end() ? std::nullopt : found->second.stopsAt_;
}

std::optional<SteadyTime> LeavingTable::markedAt(const VmId& vm) const
{
    auto found = leaving_.find(vm);
    return found == leaving_.end() ? std::nullopt : std::optional(found->second.markedAt_);
}

void LeavingTable::forgetOld(milliseconds retention, SteadyTime now)
{
    std::erase_if(leaving_, [&](const auto& item) { return now - item.second.markedAt_ > retention; });
}

} // namespace pistachioloom
