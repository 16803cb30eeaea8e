// Admin formats: templates, and the tenants that are made from them.
#include "operator/services.hpp"

namespace dykestage::op {

namespace {
constexpr auto kMaxParameter = int64_t{1} << 40;
constexpr size_t kMaxSteps = 20;
constexpr int64_t kMaxStepPermille = 900;

auto isWithin(int64_t value, int64_t low, int64_t high) -> bool {
  return value >= low && value <= high;
}

auto readParameter(const cJSON* item, std::vector<Fault>& faults) -> core::Parameter {
  core::Parameter parameter;
  Fields fields(item, std::string("template.parameters.") + item->string, faults);
  fields.neededInteger("low", 0, kMaxParameter, parameter.low);
  fields.neededInteger("high", 0, kMaxParameter, parameter.high);
  fields.neededInteger("default", 0, kMaxParameter, parameter.standard);
  if (parameter.low > parameter.high || !isWithin(parameter.standard, parameter.low, parameter.high))
    fields.fault("default", "must lie between low and high");
  fields.close();
  return parameter;
}

auto readParameters(Fields& fields, std::vector<Fault>& faults, core::Template& shape) -> void {
  const auto* list = fields.raw("parameters");
  if (!list) return;
  if (!cJSON_IsObject(list)) return fields.fault("parameters", "must be an object");
  for (const auto* item = list->child; item; item = item->next)
    shape.parameters[item->string] = readParameter(item, faults);
}

// A number, or {"parameter": name}.
auto readValue(Fields& fields, const std::string& key, int64_t low, int64_t high, const core::Template& shape,
               std::vector<Fault>& faults, core::Value& value) -> void {
  const auto* item = fields.raw(key);
  if (!item) return;
  if (!cJSON_IsObject(item)) {
    fields.integer(key, low, high, value.number);
    return;
  }
  Fields reference(item, fields.place() + "." + key, faults);
  reference.text("parameter", value.parameter, true);
  reference.close();
  auto known = shape.parameters.find(value.parameter);
  if (known == shape.parameters.end())
    reference.fault("parameter", "is not among the template's parameters");
  else if (known->second.low < low || known->second.high > high)
    reference.fault("parameter", "its bounds must lie within " + std::to_string(low) + " to " + std::to_string(high));
}

auto readServiceShape(const cJSON* json, std::vector<Fault>& faults, core::Template& shape) -> void {
  Fields service(json, "template.service", faults);
  for (const auto& number : kServiceNumbers)
    readValue(service, number.key, number.low, number.high, shape, faults, shape.*number.inTemplate);
  readPaths(service, faults, [&](Fields& path, const PathHead& head) {
    core::ShapePath read{head.prefix, head.kind, {}, ""};
    readValue(path, "keepMs", 0, kMaxKeepMs, shape, faults, read.keepMs);
    if (head.isApplication && (read.keepMs.number > 0 || !read.keepMs.parameter.empty()))
      path.fault("keepMs", kKeepRule);
    readPolicy(path, read.policy);
    shape.paths.push_back(std::move(read));
  });
  service.close();
}

auto readSteps(Fields& rollout, std::vector<int64_t>& steps) -> void {
  const auto* list = rollout.raw("stepsPermille");
  if (!list) return;
  steps.clear();
  for (const auto* item = cJSON_IsArray(list) ? list->child : nullptr; item; item = item->next)
    steps.push_back(cJSON_IsNumber(item) ? static_cast<int64_t>(item->valuedouble) : -1);
  auto isRising = !steps.empty() && steps.size() <= kMaxSteps;
  for (size_t i = 0; i < steps.size(); ++i)
    isRising = isRising && isWithin(steps[i], 1, kMaxStepPermille) && (i == 0 || steps[i] > steps[i - 1]);
  if (!isRising) rollout.fault("stepsPermille", "must be rising numbers from 1 to 900, 20 at most");
}

auto readSetPoints(const cJSON* json, std::vector<Fault>& faults, policy::SetPoints& points) -> void {
  Fields rollout(json, "template.rollout", faults);
  readSteps(rollout, points.stepsPermille);
  rollout.integer("leastSample", 1, 1000000, points.leastSample);
  rollout.integer("stepMs", 100, 86400000, points.stepMs);
  rollout.integer("longestMs", 100, 86400000, points.longestMs);
  rollout.integer("quantilePermille", 1, 999, points.quantilePermille);
  rollout.integer("latencyPercent", 0, 10000, points.latencyPercent);
  rollout.integer("latencyMs", 0, 60000, points.latencyMs);
  rollout.integer("errorsPermille", 0, 1000, points.errorsPermille);
  rollout.integer("loadPercent", 0, 10000, points.loadPercent);
  rollout.close();
  if (points.longestMs < points.stepMs) rollout.fault("longestMs", "must not be less than stepMs");
}

using Owners = std::map<std::string, std::string>;  // host → service

auto ownersOf(const core::Services& services) -> Owners {
  Owners owners;
  for (const auto& [name, service] : services)
    for (const auto& host : service.hosts)
      owners[host] = name;
  return owners;
}

auto readTenantValue(Fields& tenant, const cJSON* item, const core::Template& shape,
                     std::map<std::string, int64_t>& values) -> void {
  auto place = std::string("values.") + item->string;
  auto known = shape.parameters.find(item->string);
  if (known == shape.parameters.end()) return tenant.fault(place, "is not among the template's parameters");
  const auto& parameter = known->second;
  if (!isWholeNumber(item) || !isWithin(static_cast<int64_t>(item->valuedouble), parameter.low, parameter.high))
    return tenant.fault(place, wholeNumberRule(parameter.low, parameter.high));
  values[item->string] = static_cast<int64_t>(item->valuedouble);
}

// Without a known template the values can't be judged.
auto readTenantValues(Fields& tenant, const core::Template* shape, std::map<std::string, int64_t>& into) -> void {
  const auto* values = tenant.raw("values");
  if (!values) return;
  if (!cJSON_IsObject(values)) return tenant.fault("values", "must be an object");
  for (const auto* item = values->child; shape && item; item = item->next)
    readTenantValue(tenant, item, *shape, into);
}

auto readTenant(const cJSON* json, const std::string& name, const core::State& state, Owners& owners,
                std::vector<Fault>& faults) -> core::Tenant {
  core::Tenant tenant;
  Fields fields(json, "tenants." + name, faults);
  fields.text("template", tenant.shape, true);
  fields.hosts("hosts", tenant.hosts);
  if (tenant.hosts.empty()) fields.fault("hosts", "must name at least one host");
  for (const auto& host : tenant.hosts) {
    auto [owner, isNew] = owners.try_emplace(host, name);
    if (!isNew) fields.fault("hosts", host + " belongs to " + owner->second);
  }
  auto shape = state.templates().find(tenant.shape);
  auto isKnown = shape != state.templates().end();
  if (!isKnown) fields.fault("template", "is not known");
  readTenantValues(fields, isKnown ? &shape->second : nullptr, tenant.values);
  fields.close();
  return tenant;
}

// A tenant to set, or none to retire it.
auto readNamedTenant(const cJSON* item, const core::State& state, Owners& owners, std::vector<Fault>& faults)
    -> std::optional<core::Tenant> {
  std::string name = item->string;
  auto place = "tenants." + name;
  auto isTenant = state.tenants().count(name) != 0;
  if (!isName(name)) faults.push_back({place, kNameRule});
  if (state.frame().services.count(name) && !isTenant) faults.push_back({place, "is a service of the configuration"});
  std::erase_if(owners, [&](const auto& owner) { return owner.second == name; });
  if (!cJSON_IsNull(item)) return readTenant(item, name, state, owners, faults);
  if (!isTenant) faults.push_back({place, "is no tenant, so that it can't be retired"});
  return std::nullopt;
}

auto addValue(cJSON* to, const char* key, const core::Value& value) -> void {
  if (value.parameter.empty())
    addNumber(to, key, value.number);
  else
    addText(addObject(to, key), "parameter", value.parameter);
}

auto addTemplate(cJSON* templates, const std::string& name, const core::Template& shape) -> void {
  auto* item = addObject(templates, name);
  addNumber(item, "revision", shape.revision);
  auto* parameters = addObject(item, "parameters");
  for (const auto& [key, parameter] : shape.parameters) {
    auto* one = addObject(parameters, key);
    addNumber(one, "low", parameter.low);
    addNumber(one, "high", parameter.high);
    addNumber(one, "default", parameter.standard);
  }
  auto* service = addObject(item, "service");
  for (const auto& number : kServiceNumbers)
    addValue(service, number.key, shape.*number.inTemplate);
  auto* paths = cJSON_AddArrayToObject(service, "paths");
  for (const auto& path : shape.paths) {
    auto* one = appendObject(paths);
    addText(one, "prefix", path.prefix);
    addText(one, "kind", nameOf(path.kind, kUpstreamKindNames));
    addValue(one, "keepMs", path.keepMs);
    if (!path.policy.empty()) addText(one, "policy", path.policy);
  }
}

auto addTenant(cJSON* tenants, const std::string& name, const core::Tenant& tenant) -> void {
  auto* item = addObject(tenants, name);
  addText(item, "template", tenant.shape);
  addTexts(item, "hosts", tenant.hosts);
  auto* values = addObject(item, "values");
  for (const auto& [key, value] : tenant.values)
    addNumber(values, key.c_str(), value);
}
}  // namespace

auto readTemplate(const std::string& body, std::vector<Fault>& faults) -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kTemplate, faults, [&](Fields& top, core::Op& op) {
    top.text("change", op.changeId);
    if (top.text("name", op.name, true) && !isName(op.name)) top.fault("name", kNameRule);
    Fields fields(top.raw("template"), "template", faults);
    readParameters(fields, faults, op.shape);
    readServiceShape(fields.raw("service"), faults, op.shape);
    if (const auto* rollout = fields.raw("rollout")) readSetPoints(rollout, faults, op.shape.points);
    fields.close();
    top.close();
  });
}

auto readTenants(const std::string& body, const core::State& state, std::vector<Fault>& faults)
    -> std::optional<core::Op> {
  return readChange(body, core::OpKind::kTenants, faults, [&](Fields& fields, core::Op& op) {
    fields.text("change", op.changeId);
    readBase(fields, op);
    const auto* list = fields.raw("tenants");
    auto isList = cJSON_IsObject(list) && list->child;
    if (!isList) fields.fault("tenants", "must be an object with at least one tenant");
    auto owners = ownersOf(state.frame().services);
    for (const auto* item = isList ? list->child : nullptr; item; item = item->next)
      op.tenants[item->string] = readNamedTenant(item, state, owners, faults);
    fields.close();
  });
}

auto writeTemplates(const core::State& state) -> std::string {
  auto json = makeObject();
  auto* templates = addObject(json.get(), "templates");
  for (const auto& [name, shape] : state.templates())
    addTemplate(templates, name, shape);
  auto* tenants = addObject(json.get(), "tenants");
  for (const auto& [name, tenant] : state.tenants())
    addTenant(tenants, name, tenant);
  return print(json.get());
}

}  // namespace dykestage::op
