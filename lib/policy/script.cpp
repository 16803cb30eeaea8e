#include "policy/script.hpp"

#include <lua.hpp>

#include <cstdlib>

namespace dykestage::policy {

struct Script::State {
  size_t bytes = 0;
  lua_State* lua = nullptr;
};

auto Script::Close::operator()(State* state) const -> void {
  if (state->lua) lua_close(state->lua);
  delete state;
}

namespace {
auto allocate(void* at, void* old, size_t oldSize, size_t newSize) -> void* {
  auto& bytes = *static_cast<size_t*>(at);
  if (!old) oldSize = 0;  // then it names a kind of object
  if (newSize == 0) {
    bytes -= oldSize;
    std::free(old);  // NOLINT(cppcoreguidelines-no-malloc): Lua's allocators are to behave like realloc
    return nullptr;
  }
  if (bytes - oldSize + newSize > Script::kBytes) return nullptr;
  auto* made = std::realloc(old, newSize);  // NOLINT(cppcoreguidelines-no-malloc): as above
  if (made) bytes = bytes - oldSize + newSize;
  return made;
}

auto onCount(lua_State* lua, lua_Debug*) -> void {
  luaL_error(lua, "runs too long");
}

auto hasPart(lua_State* lua) -> int {
  size_t textSize = 0, partSize = 0;
  const auto* text = luaL_checklstring(lua, 1, &textSize);
  const auto* part = luaL_checklstring(lua, 2, &partSize);
  lua_pushboolean(lua,
                  std::string_view(text, textSize).find(std::string_view(part, partSize)) != std::string_view::npos);
  return 1;
}

auto startsWith(lua_State* lua) -> int {
  size_t textSize = 0, headSize = 0;
  const auto* text = luaL_checklstring(lua, 1, &textSize);
  const auto* head = luaL_checklstring(lua, 2, &headSize);
  lua_pushboolean(lua, std::string_view(text, textSize).starts_with(std::string_view(head, headSize)));
  return 1;
}

// Leaves only what is bounded: the patterns of string can take exponential time in a single instruction.
auto furnish(lua_State* lua) -> int {
  luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
  lua_newtable(lua);
  for (auto name : {"sub", "len", "lower", "upper", "byte"}) {
    lua_getfield(lua, -2, name);
    lua_setfield(lua, -2, name);
  }
  lua_pushvalue(lua, -1);
  lua_setglobal(lua, LUA_STRLIBNAME);
  // Methods of strings, as in text:lower(), come from the same short list.
  lua_pushliteral(lua, "");
  lua_getmetatable(lua, -1);
  lua_pushvalue(lua, -3);
  lua_setfield(lua, -2, "__index");
  lua_pop(lua, 4);
  luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
  lua_pop(lua, 1);
  lua_register(lua, "has", hasPart);
  lua_register(lua, "starts", startsWith);
  return 0;
}

auto fail(lua_State* lua, std::string& reason) -> std::nullopt_t {
  const auto* text = lua_tostring(lua, -1);
  reason = text ? text : "fails";
  lua_settop(lua, 0);
  return std::nullopt;
}
}  // namespace

auto Script::compile(const std::string& text, std::string& reason) -> std::optional<Script> {
  if (text.size() > kTextBytes) {
    reason = "is longer than " + std::to_string(kTextBytes) + " bytes";
    return std::nullopt;
  }
  Script script;
  script.state_.reset(new State);
  auto* lua = script.state_->lua = lua_newstate(allocate, &script.state_->bytes);
  if (!lua) {
    reason = "no memory";
    return std::nullopt;
  }
  lua_pushcfunction(lua, furnish);
  if (lua_pcall(lua, 0, 0, 0) != LUA_OK) return fail(lua, reason);
  lua_sethook(lua, onCount, LUA_MASKCOUNT, kInstructions);
  // Text only: compiled chunks could break the machine itself.
  if (luaL_loadbufferx(lua, text.data(), text.size(), "policy", "t") != LUA_OK || lua_pcall(lua, 0, 0, 0) != LUA_OK)
    return fail(lua, reason);
  if (lua_getglobal(lua, "decide") != LUA_TFUNCTION) {
    reason = "does not define decide(request)";
    return std::nullopt;
  }
  lua_settop(lua, 0);
  return script;
}

auto Script::run(const std::string& method, const std::string& host, const std::string& target, std::string& reason)
    -> std::optional<Ruling> {
  auto* lua = state_->lua;
  struct Call {
    const std::string* method = nullptr;
    const std::string* host = nullptr;
    const std::string* target = nullptr;
    Ruling ruling;
  } call{&method, &host, &target, {}};
  // Everything that may want memory happens inside the protected call.
  auto body = [](lua_State* lua) -> int {
    auto& call = *static_cast<Call*>(lua_touserdata(lua, 1));
    lua_getglobal(lua, "decide");
    lua_createtable(lua, 0, 3);
    auto field = [&](const char* name, const std::string& value) {
      lua_pushlstring(lua, value.data(), value.size());
      lua_setfield(lua, -2, name);
    };
    field("method", *call.method);
    field("host", *call.host);
    field("target", *call.target);
    lua_call(lua, 1, 1);
    if (lua_isnil(lua, -1)) return 0;
    if (!lua_istable(lua, -1)) return luaL_error(lua, "decide must return nil or a table");
    // Raw reads: a metatable could run on after the limit.
    lua_pushliteral(lua, "refuse");
    lua_rawget(lua, -2);
    call.ruling.isRefused = lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    lua_pushliteral(lua, "keepMs");
    lua_rawget(lua, -2);
    if (lua_isnil(lua, -1)) return 0;
    if (!lua_isinteger(lua, -1) || lua_tointeger(lua, -1) < 0)
      return luaL_error(lua, "keepMs must be a whole number from 0");
    call.ruling.keepMs = lua_tointeger(lua, -1);
    return 0;
  };
  lua_sethook(lua, onCount, LUA_MASKCOUNT, kInstructions);
  lua_pushcfunction(lua, body);
  lua_pushlightuserdata(lua, &call);
  if (lua_pcall(lua, 1, 0, 0) != LUA_OK) return fail(lua, reason);
  lua_settop(lua, 0);
  return call.ruling;
}

}  // namespace dykestage::policy
