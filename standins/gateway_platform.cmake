add_library(ch_fake_gateway_platform STATIC
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/closing_replica.cc
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/fake_platform_api.cc
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/fake_replica.cc
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/fake_store.cc
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/repeating_replica.cc
  ${CMAKE_CURRENT_SOURCE_DIR}/gateway_platform/replica_row.cc)
target_link_libraries(ch_fake_gateway_platform PUBLIC ch_adapter ch_http1)
